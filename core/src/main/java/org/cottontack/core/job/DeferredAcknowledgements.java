package org.cottontack.core.job;

import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Ends that are stored and not yet acknowledged, since a copy of their run's start may still
 * arrive. The load: a start goes unanswered, is sent again and its run is done; then the worker
 * crashes, and the copy reaches its next life before its leader does. An end that was acknowledged
 * would stand against what the copy runs; one that ends with its life does not.
 */
final class DeferredAcknowledgements {

  /** Stands for a time that is not known yet; to be held anew when it is. */
  static final long UNKNOWN_MILLIS = Long.MAX_VALUE / 4;

  private static final long NONE = Long.MAX_VALUE;

  private final TreeMap<Long, Long> expiresMillis = new TreeMap<>();
  private long inheritedFirst = NONE;
  private long inheritedUntilMillis;

  /** Takes in that an end is to be held for so long. */
  void defer(long number, long nowMillis, long millis) {
    expiresMillis.merge(number, nowMillis + millis, DeferredAcknowledgements::laterKnown);
  }

  private static long laterKnown(long before, long next) {
    return before >= UNKNOWN_MILLIS ? next : Math.max(before, next);
  }

  /** Takes in that an earlier leader held ends from a number on, and until when they are held. */
  void inherit(long first, long untilMillis) {
    inheritedFirst = first;
    inheritedUntilMillis = untilMillis;
  }

  /** Takes in that an end is listed, the lowest numbers first. */
  void listed(long number) {
    if (number >= inheritedFirst) {
      // Those above wait for it: ends are acknowledged up to a number.
      expiresMillis.merge(number, inheritedUntilMillis, Math::max);
      inheritedFirst = NONE;
    }
  }

  /** Returns whether any end is held. */
  boolean any(long nowMillis) {
    expiresMillis.values().removeIf(expires -> expires <= nowMillis);
    return !expiresMillis.isEmpty();
  }

  /** Returns the lowest number that is held, or may be as soon as it is listed. */
  OptionalLong first(long nowMillis) {
    boolean inherits = inheritedFirst != NONE && inheritedUntilMillis > nowMillis;
    if (!any(nowMillis)) {
      return inherits ? OptionalLong.of(inheritedFirst) : OptionalLong.empty();
    }
    return OptionalLong.of(Math.min(expiresMillis.firstKey(), inheritedFirst));
  }

  /** Returns the highest number up to which no end is held. */
  long acknowledgeable(long seen, long nowMillis) {
    return any(nowMillis) ? Math.min(seen, expiresMillis.firstKey() - 1) : seen;
  }
}
