package org.cottontack.core.job;

/**
 * Starts that a worker left unanswered although it answered a later request: orders are delayed,
 * rather than cut off by a crash. The load: orders are carried out up to {@link
 * LateStart#LATEST_MILLIS} late, and a worker is lost before it has answered the start of a lasting
 * task. After a crash alone that task has to be back when its leases have ended; while orders are
 * delayed, users tolerate its absence until the start has expired.
 */
final class IgnoredStarts {

  /**
   * Undisturbed time after which an absent lasting task counts as missed, in milliseconds; the
   * platform's rules state it.
   */
  private static final long UNDISTURBED_MILLIS = 7_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private long latestMillis = NEVER;

  /**
   * Takes in that a start which was sent at a time, on our steady clock, was left unanswered.
   *
   * @return whether none that was sent later is known
   */
  boolean add(long sentMillis) {
    boolean latest = sentMillis > latestMillis;
    latestMillis = Math.max(latestMillis, sentMillis);
    return latest;
  }

  /**
   * Returns whether a lasting task may be absent until a time. Its absence counts only after an
   * undisturbed span, which begins when the latest ignored start has expired.
   */
  boolean toleratesAbsence(long untilMillis) {
    return untilMillis <= latestMillis + LateStart.LATEST_MILLIS + UNDISTURBED_MILLIS;
  }
}
