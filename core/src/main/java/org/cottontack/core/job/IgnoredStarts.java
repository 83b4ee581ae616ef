package org.cottontack.core.job;

/**
 * Starts that a worker left unanswered though it answered a later question: orders are late, not
 * cut short by a crash. The load: orders are carried out up to {@link LateStart#LATEST_MILLIS}
 * late, and a worker that left the start of a lasting task unanswered is lost. Callers bear the
 * task away until orders are no longer late; after a mere crash, only until its leases have ended.
 */
final class IgnoredStarts {

  /**
   * How long nothing must have been in disorder until an absent lasting task counts as missed, in
   * milliseconds; the platform's rules state it.
   */
  private static final long CALM_MILLIS = 7_000;

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
   * Returns whether callers bear a lasting task away until a time: it is not after a calm span,
   * which begins at the earliest when no ignored start can be carried out any more.
   */
  boolean excuse(long untilMillis) {
    return untilMillis <= latestMillis + LateStart.LATEST_MILLIS + CALM_MILLIS;
  }
}
