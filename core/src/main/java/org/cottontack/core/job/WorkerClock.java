package org.cottontack.core.job;

/**
 * Reads a worker's steady clock from afar. A worker's clock may run up to {@link #SLOWEST} as fast
 * as ours, and its answers tell its time only at some moment between question and answer.
 */
final class WorkerClock {

  /** Least speed of a worker's clock against ours; the platform promises 2 % at most. */
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
   * Returns the earliest time, on our clock, at which a life may have begun whose clock said so
   * much in answer to a question that was sent at the given time.
   */
  static long earliestStartTime(long clock, long sentMillis) {
    return sentMillis - (long) (clock / SLOWEST);
  }

  /** Returns what the worker's clock said last, in milliseconds; 0 if it never answered. */
  long clockMillis() {
    return clockMillis;
  }

  boolean known() {
    return known;
  }

  /**
   * Returns the end, on the worker's clock, of a lease that is over on ours by the given time even
   * if the worker's clock is the slowest. A faster one ends it up to 2 % sooner.
   */
  long leaseEnd(long untilMillis) {
    latestEndMillis = Math.max(latestEndMillis, untilMillis);
    return clockMillis + (long) (SLOWEST * (untilMillis - receivedMillis));
  }

  /** Returns when, on our clock, every lease given so far has ended. */
  long lastLeaseEndMillis() {
    return latestEndMillis;
  }
}
