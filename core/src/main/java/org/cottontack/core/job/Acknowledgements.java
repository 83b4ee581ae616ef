package org.cottontack.core.job;

import java.util.Optional;

/**
 * Which ends of a worker are stored and named to it, over all its lives. One of these messages that
 * got no answer may reach a later life.
 */
final class Acknowledgements {

  private long asked;
  private long askedMillis;
  private long late;
  private long lateUntilMillis;
  private Optional<WorkerIncarnation> acknowledgedLife = Optional.empty();
  private long inFlightUntilMillis;
  private long inheritedUntilMillis;

  /** Takes in that a life may be named ends as soon as this is stored. */
  void acknowledging(WorkerIncarnation life, long nowMillis) {
    if (life.identifierReusable()) {
      acknowledgedLife = Optional.of(life);
      inFlightUntilMillis = nowMillis + LateStart.LATEST_MILLIS;
    }
  }

  /** Takes in that an earlier leader may have named ends to a life, and when this one began. */
  void inherit(WorkerIncarnation life, long startMillis) {
    acknowledging(life, startMillis);
    inheritedUntilMillis = inFlightUntilMillis;
  }

  /** Returns the life that the next leader has to know: others may get what was meant for it. */
  Optional<WorkerIncarnation> acknowledgedLife() {
    return acknowledgedLife;
  }

  /** Returns whether a look that names ends may still be in flight. */
  boolean inFlight(long nowMillis) {
    return inFlightUntilMillis > nowMillis;
  }

  /** Takes in that a look leaves which names ends up to a number; 0 for none. */
  void sent(long number, long nowMillis) {
    asked = number;
    askedMillis = nowMillis;
    if (number > 0) {
      inFlightUntilMillis = nowMillis + LateStart.LATEST_MILLIS;
    }
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
   * Takes in that a life has answered for the first time: what it may hide is known from now on.
   *
   * @param bornMillis when that life began at the earliest, on our steady clock
   * @return the highest number that a late look may have named to it before
   */
  long mayHaveReached(WorkerIncarnation life, long bornMillis) {
    boolean inherited = acknowledgedLife.filter(other -> !other.equals(life)).isPresent();
    acknowledgedLife = acknowledgedLife.map(other -> life);
    if (inherited && inheritedUntilMillis > bornMillis) {
      return SuppressedCompletions.ANY;
    }
    return lateUntilMillis > bornMillis ? late : 0;
  }
}
