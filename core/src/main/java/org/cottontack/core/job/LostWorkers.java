package org.cottontack.core.job;

import java.util.List;
import java.util.Set;

/**
 * Handles the runs of lost workers. Their tasks wait for another worker, except for a task that is
 * shown to crash its workers.
 */
final class LostWorkers {

  private final Term term;
  private final CrashEvidence crashEvidence;

  LostWorkers(Term term, CrashEvidence crashEvidence) {
    this.term = term;
    this.crashEvidence = crashEvidence;
  }

  /** Handles that a worker's incarnation has ended, together with all its runs. */
  void replaced(Worker worker) {
    term.logEvent("worker.reborn", worker.info.id(), "runs=" + worker.placed.size());
    releaseLost(worker, WorkerLoss.replaced(worker));
    // The process that has its address now refuses orders for another identifier.
    term.jobs.values().stream()
        .flatMap(Job::tasks)
        .filter(task -> task.pinnedTo(worker.info.id()))
        .forEach(Task::clearLateStarts);
    term.workers.remove(worker.info.id());
  }

  /** Handles that all leases of an unreachable worker have ended. */
  void leasesExpired(Worker worker) {
    Set.copyOf(worker.orphans.keySet()).forEach(worker::removeOrphan);
    if (worker.placed.isEmpty()) {
      return;
    }
    String detail =
        "runs=%d sinceLeasesMillis=%d sinceAnswerMillis=%d %s"
            .formatted(
                worker.placed.size(),
                term.now.mono() - worker.lastLeaseEndMillis(),
                worker.everAnswered ? term.now.mono() - worker.lastAnswerMillis : 0,
                worker.answerDetails());
    term.logEvent("worker.lapsed", worker.info.id(), detail);
    releaseLost(worker, WorkerLoss.expired(worker));
  }

  /**
   * Handles that a worker has restarted under its identifier.
   *
   * @param before the incarnation that has ended
   * @param next the next one, which already holds the runs
   * @param runs the runs that were placed on an earlier incarnation
   * @param loss how the earlier incarnation was lost
   * @param sinceMillis the time from which polls were sent to the next incarnation
   */
  void restarted(Worker before, Worker next, List<Task> runs, WorkerLoss loss, long sinceMillis) {
    term.logEvent("worker.restarted", next.incarnation(), "runs=" + runs.size());
    countLosses(before, runs, loss);
    runs.forEach(
        task -> {
          if (task.mayHaveBegun()) {
            task.mayRunOn(next.incarnation(), sinceMillis);
            term.dirty.add(task.job);
          } else {
            term.release(task);
          }
        });
  }

  private void releaseLost(Worker worker, WorkerLoss loss) {
    List<Task> lost = List.copyOf(worker.placed.values());
    countLosses(worker, lost, loss);
    lost.forEach(term::release);
    lost.forEach(term::logPinned);
  }

  /**
   * Counts the loss of runs together with their worker. Nothing reports a crash. Without this
   * count, a task that crashes every worker would be started on the next one as soon as the last is
   * back, and no other work beside it would complete.
   */
  private void countLosses(Worker worker, List<Task> lost, WorkerLoss loss) {
    term.lostContacts.add(worker, term.now.mono());
    crashEvidence.lost(worker, lost, loss);
    lost.forEach(task -> logLost(worker, task, loss));
    lost.stream()
        .filter(task -> task.order == Task.Order.SENT)
        .forEach(
            task -> {
              task.unanswered();
              term.recordIgnoredStart(task);
            });
  }

  private void logLost(Worker worker, Task task, WorkerLoss loss) {
    boolean placedByUs = task.placedMillis > 0;
    String detail =
        ("%s order=%s placed=%d listed=%d loss=%s sentAfterAnswer=%s lostTogether=%d"
                + " probation=%s crashes=%d evidence=%d")
            .formatted(
                worker.info.id(),
                task.order,
                placedByUs ? term.now.mono() - task.placedMillis : 0,
                placedByUs && task.listedMillis > 0 ? task.listedMillis - task.placedMillis : 0,
                loss,
                sentAfterAnswer(worker, task),
                term.lostContacts.lostTogetherWith(worker.incarnation()),
                task.probation,
                task.crashes,
                task.blamed);
    term.logEvent("run.lost", task.key(), detail);
  }

  /**
   * Returns how long after the last answer of its worker the start of a run was last sent, in
   * milliseconds; negative where the worker has answered since. A run whose start left long after
   * that may never have begun.
   */
  private static String sentAfterAnswer(Worker worker, Task task) {
    return worker.everAnswered && task.sentByUs()
        ? String.valueOf(task.sentMillis() - worker.lastAnswerMillis)
        : "unknown";
  }
}
