package org.cottontack.core.job;

import java.util.HashMap;
import java.util.Map;

/**
 * When contact with workers was lost. Workers that are lost together, such as those of a rack, have
 * a common cause, which is none of their runs.
 */
final class LostContacts {

  /** How long a lost contact is kept, in milliseconds: longer than any lease. */
  private static final long KEPT_MILLIS = 30_000;

  /** Time from when a worker ends its wait in a poll until its answer arrives, in milliseconds. */
  private static final long ANSWER_MILLIS = 100;

  /**
   * The time within which an incarnation ended, if it did, on the leader's steady clock.
   *
   * @param fromMillis when it last answered
   * @param untilMillis when it would have answered otherwise
   */
  private record Contact(long fromMillis, long untilMillis) {

    boolean overlaps(Contact other) {
      return fromMillis <= other.untilMillis && other.fromMillis <= untilMillis;
    }
  }

  private final Map<WorkerIncarnation, Contact> lost = new HashMap<>();

  /** Records that a worker does not answer, or that its next incarnation is known. */
  void add(Worker worker, long nowMillis) {
    lost.values().removeIf(contact -> nowMillis - contact.untilMillis() > KEPT_MILLIS);
    long answerDue = worker.lastPollMillis + worker.lastPollWaitMillis + ANSWER_MILLIS;
    long from = worker.everAnswered ? worker.lastAnswerMillis : Long.MIN_VALUE;
    lost.putIfAbsent(worker.incarnation(), new Contact(from, Math.min(nowMillis, answerDue)));
  }

  /** Records that an incarnation answers again. */
  void remove(WorkerIncarnation incarnation) {
    lost.remove(incarnation);
  }

  /** Returns how many other workers may have been lost at the same time as an incarnation. */
  long lostTogetherWith(WorkerIncarnation incarnation) {
    Contact contact = lost.get(incarnation);
    return lost.entrySet().stream()
        .filter(other -> !other.getKey().equals(incarnation))
        .filter(other -> contact != null && other.getValue().overlaps(contact))
        .count();
  }
}
