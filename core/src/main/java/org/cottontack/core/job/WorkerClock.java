package org.cottontack.core.job;

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

  private long clockMillis;
  private long receivedMillis;
  private boolean known;
  private long latestEndMillis;

  void observe(long clock, long received) {
    clockMillis = clock;
    receivedMillis = received;
    known = true;
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
    return clockMillis;
  }

  boolean known() {
    return known;
  }

  /**
   * Returns the end, on the worker's clock, of a lease that has ended on our clock by the given
   * time even if the worker's clock is the slowest allowed. A faster clock ends the lease up to 2 %
   * sooner.
   */
  long leaseEnd(long untilMillis) {
    latestEndMillis = Math.max(latestEndMillis, untilMillis);
    return clockMillis + (long) (SLOWEST * (untilMillis - receivedMillis));
  }

  /** Returns when, on our clock, every lease granted so far has ended. */
  long lastLeaseEndMillis() {
    return latestEndMillis;
  }
}
