package org.cottontack.core.job;

import java.util.List;
import java.util.Set;

/**
 * Handles the runs of lost workers. Their tasks wait for another worker, except for a task that has
 * crashed its workers repeatedly.
 */
final class LostWorkers {

  private final Term term;
  private final Lifecycle lifecycle;

  LostWorkers(Term term, Lifecycle lifecycle) {
    this.term = term;
    this.lifecycle = lifecycle;
  }

  /** Handles that a worker's incarnation has ended, together with all its runs. */
  void replaced(Worker worker) {
    term.logEvent("worker.reborn", worker.info.id(), "runs=" + worker.placed.size());
    releaseLost(worker, !left(worker));
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
    // A worker that is still listed may be alive and unreachable only for this leader.
    releaseLost(worker, !worker.registered && !left(worker));
  }

  /**
   * Handles that a worker has restarted under its identifier.
   *
   * @param worker the next incarnation, which already holds the runs
   * @param runs the runs that were placed on an earlier incarnation
   * @param left whether that incarnation had announced that it was leaving
   * @param sinceMillis the time from which polls were sent to the next incarnation
   */
  void restarted(Worker worker, List<Task> runs, boolean left, long sinceMillis) {
    term.logEvent("worker.restarted", worker.incarnation(), "runs=" + runs.size());
    List<Task> toAbandon = countLosses(worker, runs, !left);
    runs.forEach(
        task -> {
          if (task.mayHaveBegun()) {
            task.mayRunOn(worker.incarnation(), sinceMillis);
            term.dirty.add(task.job);
          } else {
            term.release(task);
          }
        });
    toAbandon.forEach(lifecycle::abandon);
  }

  private void releaseLost(Worker worker, boolean crashed) {
    List<Task> lost = List.copyOf(worker.placed.values());
    List<Task> toAbandon = countLosses(worker, lost, crashed);
    lost.forEach(term::release);
    lost.forEach(term::logPinned);
    toAbandon.forEach(lifecycle::abandon);
  }

  /**
   * Counts the loss of runs together with their worker and returns the tasks to abandon. Nothing
   * reports a crash. Without this count, a task that crashes every worker would be started on the
   * next one as soon as the last is back, and no other work beside it would complete.
   */
  private List<Task> countLosses(Worker worker, List<Task> lost, boolean crashed) {
    List<Task> toAbandon = crashed ? CrashBlame.crashed(lost) : CrashBlame.endedUndone(lost);
    lost.forEach(task -> logLost(worker, task));
    lost.stream()
        .filter(task -> task.order == Task.Order.SENT)
        .forEach(
            task -> {
              task.unanswered();
              term.recordIgnoredStart(task);
            });
    return toAbandon;
  }

  /**
   * Returns whether a worker announced that it was leaving, which ends its runs without a crash. A
   * worker that was gone before this leader's term announced nothing to this leader. If it were
   * treated as having left, crashes that coincide with leader changes would never be counted and
   * could go on indefinitely.
   */
  static boolean left(Worker worker) {
    return worker.info.reachable() && worker.info.draining();
  }

  private void logLost(Worker worker, Task task) {
    boolean placedByUs = task.placedMillis > 0;
    String detail =
        "%s order=%s placed=%d listed=%d crashes=%d blamed=%d"
            .formatted(
                worker.info.id(),
                task.order,
                placedByUs ? term.now.mono() - task.placedMillis : 0,
                placedByUs && task.listedMillis > 0 ? task.listedMillis - task.placedMillis : 0,
                task.crashes,
                task.blamed);
    term.logEvent("run.lost", task.key(), detail);
  }
}
