package org.cottontack.core.job;

import java.util.Optional;

/**
 * Acknowledgements that were sent to a worker, over all its incarnations. An acknowledgement names
 * the completions that are stored; one that got no answer may reach a later incarnation.
 */
final class Acknowledgements {

  private long sentNumber;
  private long sentMillis;
  private long lateNumber;
  private long lateUntilMillis;
  private Optional<WorkerIncarnation> acknowledgedIncarnation = Optional.empty();
  private long inFlightUntilMillis;
  private long inheritedUntilMillis;

  /** Records that completions may be acknowledged to an incarnation as soon as this is stored. */
  void acknowledging(WorkerIncarnation incarnation, long nowMillis) {
    if (incarnation.identifierReusable()) {
      acknowledgedIncarnation = Optional.of(incarnation);
      inFlightUntilMillis = nowMillis + LateStart.LATEST_MILLIS;
    }
  }

  /**
   * Records that an earlier leader may have acknowledged completions to an incarnation.
   *
   * @param startMillis when the present leader's term began
   */
  void inherit(WorkerIncarnation incarnation, long startMillis) {
    acknowledging(incarnation, startMillis);
    inheritedUntilMillis = inFlightUntilMillis;
  }

  /**
   * Returns the incarnation that the next leader has to know, because later incarnations may
   * receive acknowledgements that were meant for it.
   */
  Optional<WorkerIncarnation> acknowledgedIncarnation() {
    return acknowledgedIncarnation;
  }

  /** Returns whether a poll that acknowledges completions may still be in flight. */
  boolean inFlight(long nowMillis) {
    return inFlightUntilMillis > nowMillis;
  }

  /** Records that a poll is sent which acknowledges completions up to a number; 0 for none. */
  void pollSent(long number, long nowMillis) {
    sentNumber = number;
    sentMillis = nowMillis;
    if (number > 0) {
      inFlightUntilMillis = nowMillis + LateStart.LATEST_MILLIS;
    }
  }

  /** Records that the incarnation to which the last poll was sent has answered it. */
  void answered() {
    sentNumber = 0;
  }

  /** Records that the last poll got no answer, or one from another incarnation. */
  void unanswered() {
    if (sentNumber > 0) {
      lateNumber = Math.max(lateNumber, sentNumber);
      lateUntilMillis = sentMillis + LateStart.LATEST_MILLIS;
      sentNumber = 0;
    }
  }

  /**
   * Records the first answer of an incarnation. It shows which completions of the incarnation may
   * be suppressed.
   *
   * @param earliestStartMillis earliest time at which that incarnation started, on our steady clock
   * @return the highest number that a late poll may have acknowledged to it before
   */
  long recordFirstAnswer(WorkerIncarnation incarnation, long earliestStartMillis) {
    boolean inherited =
        acknowledgedIncarnation.filter(other -> !other.equals(incarnation)).isPresent();
    acknowledgedIncarnation = acknowledgedIncarnation.map(other -> incarnation);
    if (inherited && inheritedUntilMillis > earliestStartMillis) {
      return SuppressedCompletions.ANY;
    }
    return lateUntilMillis > earliestStartMillis ? lateNumber : 0;
  }
}
