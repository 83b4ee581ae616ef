package org.cottontack.core.job;

import java.util.Optional;

/**
 * Which ends of a worker are stored and named to it, over all its lives. One of these messages that
 * got no answer may reach a later life.
 */
final class Acknowledgements {

  private long sentNumber;
  private long sentMillis;
  private long lateNumber;
  private long lateUntilMillis;
  private Optional<WorkerIncarnation> acknowledgedIncarnation = Optional.empty();
  private long inFlightUntilMillis;
  private long inheritedUntilMillis;

  /** Takes in that a life may be named ends as soon as this is stored. */
  void acknowledging(WorkerIncarnation incarnation, long nowMillis) {
    if (incarnation.identifierReusable()) {
      acknowledgedIncarnation = Optional.of(incarnation);
      inFlightUntilMillis = nowMillis + LateStart.LATEST_MILLIS;
    }
  }

  /** Takes in that an earlier leader may have named ends to a life, and when this one began. */
  void inherit(WorkerIncarnation incarnation, long startMillis) {
    acknowledging(incarnation, startMillis);
    inheritedUntilMillis = inFlightUntilMillis;
  }

  /** Returns the life that the next leader has to know: others may get what was meant for it. */
  Optional<WorkerIncarnation> acknowledgedIncarnation() {
    return acknowledgedIncarnation;
  }

  /** Returns whether a look that names ends may still be in flight. */
  boolean inFlight(long nowMillis) {
    return inFlightUntilMillis > nowMillis;
  }

  /** Takes in that a look leaves which names ends up to a number; 0 for none. */
  void pollSent(long number, long nowMillis) {
    sentNumber = number;
    sentMillis = nowMillis;
    if (number > 0) {
      inFlightUntilMillis = nowMillis + LateStart.LATEST_MILLIS;
    }
  }

  /** Takes in that the life which the last look was for has answered it. */
  void answered() {
    sentNumber = 0;
  }

  /** Takes in that the last look got no answer, or one of another life. */
  void unanswered() {
    if (sentNumber > 0) {
      lateNumber = Math.max(lateNumber, sentNumber);
      lateUntilMillis = sentMillis + LateStart.LATEST_MILLIS;
      sentNumber = 0;
    }
  }

  /**
   * Takes in that a life has answered for the first time: what it may hide is known from now on.
   *
   * @param earliestStartMillis when that life began at the earliest, on our steady clock
   * @return the highest number that a late look may have named to it before
   */
  long mayHaveReached(WorkerIncarnation incarnation, long earliestStartMillis) {
    boolean inherited =
        acknowledgedIncarnation.filter(other -> !other.equals(incarnation)).isPresent();
    acknowledgedIncarnation = acknowledgedIncarnation.map(other -> incarnation);
    if (inherited && inheritedUntilMillis > earliestStartMillis) {
      return SuppressedCompletions.ANY;
    }
    return lateUntilMillis > earliestStartMillis ? lateNumber : 0;
  }
}
