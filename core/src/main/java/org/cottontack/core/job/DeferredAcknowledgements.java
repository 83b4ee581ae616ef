package org.cottontack.core.job;

import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Completions that are not acknowledged yet.
 *
 * <p>Some are stored, but a duplicate start of their run may still arrive. This happens when a
 * start goes unanswered, is sent again and its run is done; then the worker crashes, and the
 * duplicate reaches its next incarnation before the leader does. If the completion was
 * acknowledged, the duplicate would run a task again that counts as done for good. A completion
 * that was not acknowledged is lost with its incarnation, so it does not conflict with the run of
 * the duplicate.
 *
 * <p>Others cannot be stored by this leader, because it cannot read the rows of their jobs.
 */
final class DeferredAcknowledgements {

  /** Deferral whose length is not known yet; {@link #defer} is called again once it is. */
  static final long UNKNOWN_MILLIS = Long.MAX_VALUE / 4;

  private static final long NONE = Long.MAX_VALUE;

  private final TreeMap<Long, Long> expiresMillis = new TreeMap<>();
  private long inheritedFirst = NONE;
  private long inheritedUntilMillis;

  /**
   * The withheld completions. A report lists at most {@link WorkerReport#MAX_COMPLETIONS}, and
   * nothing after them is listed before they are acknowledged.
   */
  private final TreeMap<Long, JobId> withheldJobs = new TreeMap<>();

  /** First withheld number that exceeded the bound; it stays withheld for the rest of the term. */
  private long firstUntracked = NONE;

  /** Defers the acknowledgement of a completion for the given time. */
  void defer(long number, long nowMillis, long millis) {
    expiresMillis.merge(number, nowMillis + millis, DeferredAcknowledgements::laterKnown);
  }

  private static long laterKnown(long before, long next) {
    return before >= UNKNOWN_MILLIS ? next : Math.max(before, next);
  }

  /**
   * Records the first number from which an earlier leader deferred acknowledgements, and until when
   * they are deferred.
   */
  void inherit(long first, long untilMillis) {
    inheritedFirst = first;
    inheritedUntilMillis = untilMillis;
  }

  /** Records that a completion is listed; must be called for the lowest numbers first. */
  void listed(long number) {
    if (number >= inheritedFirst) {
      // Completions with higher numbers wait for this one, because each acknowledgement covers all
      // numbers up to the one that it names.
      expiresMillis.merge(number, inheritedUntilMillis, Math::max);
      inheritedFirst = NONE;
    }
  }

  /**
   * Withholds the acknowledgement of a completion, and with it those of all later ones, until its
   * job is cancelled or the term ends. The next leader need not know this: it finds the completion
   * listed, and either stores it or withholds its acknowledgement as well.
   */
  void withhold(long number, JobId job) {
    if (withheldJobs.size() < WorkerReport.MAX_COMPLETIONS) {
      withheldJobs.put(number, job);
    } else {
      firstUntracked = Math.min(firstUntracked, number);
    }
  }

  /** Stops withholding the acknowledgements of a job's completions. */
  void stopWithholding(JobId job) {
    withheldJobs.values().removeIf(job::equals);
  }

  private long firstWithheld() {
    return withheldJobs.isEmpty()
        ? firstUntracked
        : Math.min(withheldJobs.firstKey(), firstUntracked);
  }

  /** Returns how many of the completions up to a number are withheld. */
  long withheld(long seen) {
    return Math.max(0, seen - firstWithheld() + 1);
  }

  /** Returns whether any acknowledgement is deferred for a time; withheld ones do not count. */
  boolean any(long nowMillis) {
    expiresMillis.values().removeIf(expires -> expires <= nowMillis);
    return !expiresMillis.isEmpty();
  }

  /** Returns the lowest number that is deferred, or may be as soon as it is listed. */
  OptionalLong first(long nowMillis) {
    boolean inherits = inheritedFirst != NONE && inheritedUntilMillis > nowMillis;
    if (!any(nowMillis)) {
      return inherits ? OptionalLong.of(inheritedFirst) : OptionalLong.empty();
    }
    return OptionalLong.of(Math.min(expiresMillis.firstKey(), inheritedFirst));
  }

  /** Returns the highest number up to which no acknowledgement is deferred or withheld. */
  long acknowledgeable(long seen, long nowMillis) {
    long notWithheld = Math.min(seen, firstWithheld() - 1);
    return any(nowMillis) ? Math.min(notWithheld, expiresMillis.firstKey() - 1) : notWithheld;
  }
}
