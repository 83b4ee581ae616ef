package org.cottontack.core.job;

/**
 * Which ends of a worker are stored and named to it, over all its lives. One of these messages that
 * got no answer may reach a later life.
 */
final class Acknowledgements {

  private long asked;
  private long askedMillis;
  private long late;
  private long lateUntilMillis;

  /** Takes in that a look leaves which names ends up to a number; 0 for none. */
  void sent(long number, long nowMillis) {
    asked = number;
    askedMillis = nowMillis;
  }

  /** Takes in that the life which the last look was for has answered it. */
  void answered() {
    asked = 0;
  }

  /** Takes in that the last look got no answer, or one of another life. */
  void unanswered() {
    if (asked > 0) {
      late = Math.max(late, asked);
      lateUntilMillis = askedMillis + LateStart.LATEST_MILLIS;
      asked = 0;
    }
  }

  /**
   * Returns the highest number that a late look may have named to a life before it answered.
   *
   * @param bornMillis when that life began at the earliest, on our steady clock
   */
  long mayHaveReached(long bornMillis) {
    return lateUntilMillis > bornMillis ? late : 0;
  }
}
