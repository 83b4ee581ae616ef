package org.cottontack.core.job;

import java.util.TreeMap;

/**
 * Ends that are stored and not yet acknowledged, since a copy of their run's start may still
 * arrive. The load: a start goes unanswered, is sent again and its run is done; then the worker
 * crashes, and the copy reaches its next life before its leader does. An end that was acknowledged
 * would stand against what the copy runs; one that ends with its life does not.
 */
final class HeldEnds {

  private final TreeMap<Long, Long> expiresMillis = new TreeMap<>();

  /** Takes in that an end is to be held for so long. */
  void hold(long number, long nowMillis, long millis) {
    expiresMillis.put(number, nowMillis + millis);
  }

  /** Returns whether any end is held. */
  boolean any(long nowMillis) {
    expiresMillis.values().removeIf(expires -> expires <= nowMillis);
    return !expiresMillis.isEmpty();
  }

  /** Returns the highest number up to which no end is held. */
  long acknowledgeable(long seen, long nowMillis) {
    return any(nowMillis) ? Math.min(seen, expiresMillis.firstKey() - 1) : seen;
  }
}
