package org.cottontack.daemon.job;

/**
 * News that may forbid to start work, and how old it may be, counted from when it was asked for.
 */
enum FreshnessLimit {

  /** Jobs that callers cancelled: 3 s later nothing of them may begin. */
  CANCELLATIONS(2_000, 3_000),

  /** Data centres that the operator empties: 5 s later nothing may begin there. */
  EVACUATIONS(4_000, 5_000),

  /** Workers that are about to leave, or have less room: 2 s later nothing may begin there. */
  WORKERS(1_700, 2_000);

  /** What clocks and a worker's answer may differ by, in milliseconds. */
  private static final long CLOCK_TOLERANCE_MILLIS = 100;

  private final long maxSendAgeMillis;
  private final long maxStartAgeMillis;

  /**
   * Creates a kind of news.
   *
   * @param maxSendAgeMillis age up to which an order to start may leave, in milliseconds; what is
   *     left to the bound is for its way
   * @param maxStartAgeMillis time after which nothing may begin against this news, in milliseconds
   */
  FreshnessLimit(long maxSendAgeMillis, long maxStartAgeMillis) {
    this.maxSendAgeMillis = maxSendAgeMillis;
    this.maxStartAgeMillis = maxStartAgeMillis;
  }

  /** Returns whether an order to start may leave while the last news is of this age. */
  boolean allows(long ageMillis) {
    return ageMillis < maxSendAgeMillis;
  }

  /** Returns for how long work may begin by news of this age, in milliseconds; may be negative. */
  long remainingMillis(long ageMillis) {
    return maxStartAgeMillis - CLOCK_TOLERANCE_MILLIS - ageMillis;
  }
}
