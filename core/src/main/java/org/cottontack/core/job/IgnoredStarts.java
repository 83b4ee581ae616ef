package org.cottontack.core.job;

import java.util.OptionalLong;

/**
 * Starts that a worker left unanswered although it answered a later request. They show that orders
 * are delayed rather than lost in a crash: orders are then carried out up to {@link
 * LateStart#LATEST_MILLIS} late, and a worker may be lost before it has answered the start of a
 * long-running task. After a crash without such delays that task has to be back when its leases
 * have ended. While orders are delayed, users tolerate its absence until the start has expired.
 */
final class IgnoredStarts {

  /**
   * Undisturbed time after which the absence of a long-running task counts, in milliseconds. The
   * rules of the platform specify it.
   */
  private static final long UNDISTURBED_MILLIS = 7_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private long latestMillis = NEVER;

  /**
   * Records that a start was left unanswered.
   *
   * @param sentMillis when it was sent, on our steady clock
   * @return whether it was sent later than all others that are known
   */
  boolean add(long sentMillis) {
    boolean latest = sentMillis > latestMillis;
    latestMillis = Math.max(latestMillis, sentMillis);
    return latest;
  }

  /**
   * Returns when the latest ignored start was sent, on our steady clock; empty once it no longer
   * matters.
   */
  OptionalLong latestMillis(long nowMillis) {
    return toleratesAbsence(nowMillis) ? OptionalLong.of(latestMillis) : OptionalLong.empty();
  }

  /**
   * Returns whether users tolerate the absence of a long-running task until a time. The absence
   * counts only after an undisturbed period, which begins when the latest ignored start has
   * expired.
   */
  boolean toleratesAbsence(long untilMillis) {
    return untilMillis <= latestMillis + LateStart.LATEST_MILLIS + UNDISTURBED_MILLIS;
  }
}
