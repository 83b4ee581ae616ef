package org.cottontack.core.job;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates a remote worker's steady clock. A worker's clock may run slower than ours, down to
 * {@link #SLOWEST} times our rate, and an answer gives its time only at some moment between request
 * and response.
 */
final class WorkerClock {

  /**
   * Minimum rate of a worker's clock relative to ours; the platform guarantees a deviation of at
   * most 2 %.
   */
  static final double SLOWEST = 0.98;

  /**
   * A clock value that the worker reported.
   *
   * @param clockMillis the value
   * @param receivedMillis when the report arrived, on our clock
   */
  private record Observation(long clockMillis, long receivedMillis) {

    /** Returns what the worker's clock shows at the earliest at a time on our clock. */
    long earliestClock(long millis) {
      return clockMillis + (long) (SLOWEST * (millis - receivedMillis));
    }
  }

  /** Oldest first; those that no renewal of leases can be based on any more are dropped. */
  private final Deque<Observation> observations = new ArrayDeque<>();

  private long latestEndMillis;

  void observe(long clock, long received) {
    dropBefore(received - LeaderLease.GRANT_MILLIS);
    observations.addLast(new Observation(clock, received));
  }

  /** Drops the observations that came before the latest one at or before a time on our clock. */
  private void dropBefore(long millis) {
    Observation latest = observations.pollFirst();
    while (!observations.isEmpty() && observations.getFirst().receivedMillis() <= millis) {
      latest = observations.removeFirst();
    }
    if (latest != null) {
      observations.addFirst(latest);
    }
  }

  /**
   * Returns the earliest time, on our clock, at which an incarnation may have started that reported
   * the given clock value in response to a request sent at the given time.
   */
  static long earliestStartTime(long clock, long sentMillis) {
    return sentMillis - (long) (clock / SLOWEST);
  }

  /** Returns the worker's last reported clock value, in milliseconds; 0 if it never answered. */
  long clockMillis() {
    return known() ? observations.getLast().clockMillis() : 0;
  }

  /** Returns what the worker's clock shows at the earliest at a time on our clock. */
  long earliestClock(long millis) {
    return known() ? observations.getLast().earliestClock(millis) : 0;
  }

  boolean known() {
    return !observations.isEmpty();
  }

  /**
   * Returns the end, on the worker's clock, of a lease that has ended on our clock by the given
   * time even if the worker's clock is the slowest allowed. A faster clock ends the lease up to 2 %
   * sooner.
   *
   * <p>The given time counts from a renewal of the leader's lease. If this instance was suspended
   * since, the time is too late, but the worker's clock went on. So the end is also based on what
   * that clock showed at the renewal.
   *
   * @param renewedMillis when that renewal was sent, on our clock
   */
  long leaseEnd(long untilMillis, long renewedMillis) {
    latestEndMillis = Math.max(latestEndMillis, untilMillis);
    dropBefore(renewedMillis);
    return earliestClockSinceRenewal(untilMillis);
  }

  private long earliestClockSinceRenewal(long millis) {
    return observations.stream()
        .mapToLong(observation -> observation.earliestClock(millis))
        .min()
        .orElseThrow();
  }

  /**
   * Returns the end, on the worker's clock, of a lease that is far shorter than the leader's own.
   * It is based on the last answer, and is no later than the leader's lease permits by what the
   * clock showed at its renewal.
   *
   * @param untilMillis when it ends on our clock
   * @param grantEndMillis the latest end of leases that are granted now, on our clock
   * @param renewedMillis when the renewal was sent on which that is based, on our clock
   */
  long shortLeaseEnd(long untilMillis, long grantEndMillis, long renewedMillis) {
    latestEndMillis = Math.max(latestEndMillis, untilMillis);
    dropBefore(renewedMillis);
    return Math.min(earliestClock(untilMillis), earliestClockSinceRenewal(grantEndMillis));
  }

  /** Returns when, on our clock, every lease granted so far has ended. */
  long lastLeaseEndMillis() {
    return latestEndMillis;
  }
}
