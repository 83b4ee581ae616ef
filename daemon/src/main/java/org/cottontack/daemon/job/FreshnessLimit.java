package org.cottontack.daemon.job;

/**
 * Kinds of updates that may forbid starts, with the maximum age at which each may still be relied
 * on. The age counts from when the update was requested.
 */
enum FreshnessLimit {

  /** Jobs that callers have cancelled: 3 s later none of their tasks may begin. */
  CANCELLATIONS(2_000, 3_000),

  /** Data centres that the operator evacuates: 5 s later nothing may begin there. */
  EVACUATIONS(4_000, 5_000),

  /** Workers that are about to leave or have less capacity: 2 s later nothing may begin there. */
  WORKERS(1_700, 2_000);

  /**
   * Tolerance for differences between clocks and for the clock time in a worker's response, in
   * milliseconds.
   */
  private static final long CLOCK_TOLERANCE_MILLIS = 100;

  private final long maxSendAgeMillis;
  private final long maxStartAgeMillis;

  /**
   * Creates a kind of update.
   *
   * @param maxSendAgeMillis age up to which a start order may be sent, in milliseconds; the rest of
   *     the time until the limit is for its delivery
   * @param maxStartAgeMillis time after which nothing may begin that contradicts the update, in
   *     milliseconds
   */
  FreshnessLimit(long maxSendAgeMillis, long maxStartAgeMillis) {
    this.maxSendAgeMillis = maxSendAgeMillis;
    this.maxStartAgeMillis = maxStartAgeMillis;
  }

  /** Returns whether a start order may be sent while the last update has this age. */
  boolean allows(long ageMillis) {
    return ageMillis < maxSendAgeMillis;
  }

  /**
   * Returns for how long work may begin after an update of this age, in milliseconds; may be
   * negative.
   */
  long remainingMillis(long ageMillis) {
    return maxStartAgeMillis - CLOCK_TOLERANCE_MILLIS - ageMillis;
  }
}
