package org.cottontack.core.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * When contact with workers was lost, which shows how likely a worker is lost whatever runs there.
 * Workers that are lost together, such as those of a rack, have a common cause.
 */
final class LostContacts {

  /** How long a lost contact is kept, in milliseconds: longer than any lease. */
  private static final long KEPT_MILLIS = 30_000;

  /** Time over which the rate of losses is taken, in milliseconds. */
  private static final long RATE_MILLIS = 10_000;

  /** Time from when a worker ends its wait in a poll until its answer arrives, in milliseconds. */
  private static final long ANSWER_MILLIS = 100;

  /**
   * The time within which an incarnation ended, if it did, on the leader's steady clock.
   *
   * @param fromMillis when it last answered
   * @param untilMillis when it would have answered otherwise
   * @param causes the tasks whose runs may have crashed it
   * @param byStart whether a run on probation may have crashed it at its start
   * @param recordedMillis when this was recorded
   */
  private record Contact(
      long fromMillis, long untilMillis, List<Task> causes, boolean byStart, long recordedMillis) {

    /** Returns whether the worker was lost before this leader's term or at its beginning. */
    boolean inherited() {
      return fromMillis == Long.MIN_VALUE;
    }

    /**
     * Returns whether there is evidence that a task crashed the worker: a suspect that had just
     * been started, or one that has crashed another worker.
     */
    boolean explained() {
      return byStart
          || causes.stream().anyMatch(task -> CrashBlame.suspect(task) && task.blamed > 0);
    }

    /** Returns whether a suspect of a job may have crashed the worker. */
    boolean hasSuspectOf(Job job) {
      return causes.stream().anyMatch(task -> task.job.equals(job) && CrashBlame.suspect(task));
    }

    boolean overlaps(Contact other) {
      return fromMillis <= other.untilMillis && other.fromMillis <= untilMillis;
    }
  }

  private final Map<WorkerIncarnation, Contact> lost = new HashMap<>();

  /** Records that a worker does not answer, is no longer listed, or has a next incarnation. */
  void add(Worker worker, long nowMillis) {
    lost.values().removeIf(contact -> nowMillis - contact.recordedMillis() > KEPT_MILLIS);
    lost.putIfAbsent(worker.incarnation(), contact(worker, nowMillis));
  }

  private static Contact contact(Worker worker, long nowMillis) {
    long answerDue =
        worker.pollInFlight || worker.silent
            ? worker.lastPollMillis + worker.lastPollWaitMillis + ANSWER_MILLIS
            : nowMillis;
    return new Contact(
        worker.everAnswered ? worker.lastAnswerMillis : Long.MIN_VALUE,
        Math.min(nowMillis, answerDue),
        CrashBlame.possibleCauses(worker.placed.values()),
        worker.placed.values().stream().anyMatch(task -> task.probation && task.listedMillis == 0),
        nowMillis);
  }

  /** Records that an incarnation answers again. */
  void remove(WorkerIncarnation incarnation) {
    lost.remove(incarnation);
  }

  /** Returns when an incarnation had ended at the latest; the distant past if it is not known. */
  long untilMillis(WorkerIncarnation incarnation) {
    Contact contact = lost.get(incarnation);
    return contact == null ? Long.MIN_VALUE / 2 : contact.untilMillis();
  }

  /** Returns whether the loss of an incarnation is still known. */
  boolean contains(WorkerIncarnation incarnation) {
    return lost.containsKey(incarnation);
  }

  /**
   * Returns how many other workers may have been lost at the same time as an incarnation, for a
   * reason that is not known. If the time is not known, no worker with a suspect counts.
   */
  long lostTogetherWith(WorkerIncarnation incarnation) {
    Contact contact = lost.get(incarnation);
    return lost.entrySet().stream()
        .filter(other -> !other.getKey().equals(incarnation))
        .map(Map.Entry::getValue)
        .filter(other -> contact != null && other.overlaps(contact))
        .filter(other -> !other.explained())
        .filter(
            other -> !contact.inherited() || other.causes().stream().noneMatch(CrashBlame::suspect))
        .count();
  }

  /**
   * Returns how likely an incarnation was lost since a run there was started, for another reason
   * than that run: as often as other workers were lost lately for an unknown reason.
   *
   * @param incarnation an incarnation whose loss is recorded
   * @param task the task of the run
   * @param startedMillis when the start was sent
   * @param workers the number of workers
   * @param nowMillis the present time, on the leader's steady clock
   */
  double lossProbability(
      WorkerIncarnation incarnation, Task task, long startedMillis, int workers, long nowMillis) {
    long others =
        lost.entrySet().stream()
            .filter(other -> !other.getKey().equals(incarnation))
            .map(Map.Entry::getValue)
            .filter(other -> nowMillis - other.recordedMillis() < RATE_MILLIS)
            .filter(other -> !other.explained() && !other.hasSuspectOf(task.job))
            .count();
    double ratePerMilli = others / (double) (Math.max(1, workers) * RATE_MILLIS);
    return ratePerMilli * Math.max(0, lost.get(incarnation).untilMillis() - startedMillis);
  }
}
