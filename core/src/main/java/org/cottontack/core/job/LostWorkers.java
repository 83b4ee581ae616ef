package org.cottontack.core.job;

import java.util.List;
import java.util.Set;

/**
 * What becomes of runs whose worker is lost: they wait for another one, but for those of a task
 * that made it crash again and again.
 */
final class LostWorkers {

  private final Term term;
  private final Lifecycle lifecycle;

  LostWorkers(Term term, Lifecycle lifecycle) {
    this.term = term;
    this.lifecycle = lifecycle;
  }

  /** Takes in that a worker's life has ended, and all that ran there with it. */
  void reborn(Worker worker) {
    term.logEvent("worker.reborn", worker.info.id(), "runs=" + worker.placed.size());
    lose(worker, !left(worker));
    // Whoever has its address now refuses orders for another identifier.
    term.jobs.values().stream()
        .flatMap(Job::tasks)
        .filter(task -> task.pinnedTo(worker.info.id()))
        .forEach(Task::clearLateStarts);
    term.workers.remove(worker.info.id());
  }

  /** Takes in that all leases of a worker out of touch have ended. */
  void lapsed(Worker worker) {
    Set.copyOf(worker.orphans.keySet()).forEach(worker::removeOrphan);
    if (worker.placed.isEmpty()) {
      return;
    }
    term.logEvent("worker.lapsed", worker.info.id(), "runs=" + worker.placed.size());
    // One that is still listed may live, cut off from us alone.
    lose(worker, !worker.registered && !left(worker));
  }

  /**
   * Takes in that a worker has started again under its identifier.
   *
   * @param worker the next life, which holds the runs by now
   * @param runs what had been placed on an earlier life
   * @param left whether that one had said that it leaves
   * @param sinceMillis from when on looks at the next life were sent
   */
  void restarted(Worker worker, List<Task> runs, boolean left, long sinceMillis) {
    term.logEvent("worker.restarted", worker.incarnation(), "runs=" + runs.size());
    List<Task> hopeless = judge(worker, runs, !left);
    runs.forEach(
        task -> {
          if (task.mayHaveBegun()) {
            task.mayRunOn(worker.incarnation(), sinceMillis);
            term.dirty.add(task.job);
          } else {
            term.release(task);
          }
        });
    hopeless.forEach(lifecycle::giveUp);
  }

  private void lose(Worker worker, boolean crashed) {
    List<Task> lost = List.copyOf(worker.placed.values());
    List<Task> hopeless = judge(worker, lost, crashed);
    lost.forEach(term::release);
    lost.forEach(term::logPinned);
    hopeless.forEach(lifecycle::giveUp);
  }

  /**
   * Counts the end of runs with their worker and returns tasks that are to be given up. A crash is
   * reported by nobody. Not counted, a task that crashes every worker goes to the next one as soon
   * as the last is back, and no caller's work beside it ends.
   */
  private List<Task> judge(Worker worker, List<Task> lost, boolean crashed) {
    List<Task> hopeless = crashed ? CrashBlame.crashed(lost) : CrashBlame.endedUndone(lost);
    lost.forEach(task -> noteLost(worker, task));
    lost.stream()
        .filter(task -> task.order == Task.Order.SENT)
        .forEach(
            task -> {
              task.unanswered();
              term.recordIgnoredStart(task);
            });
    return hopeless;
  }

  /**
   * Returns whether a worker said that it leaves, which ends what runs there without a crash. One
   * that was gone before this leader's term said nothing to it: taken for one that left, crashes
   * beside changes of leaders would have no end.
   */
  static boolean left(Worker worker) {
    return worker.info.reachable() && worker.info.draining();
  }

  private void noteLost(Worker worker, Task task) {
    boolean byUs = task.placedMillis > 0;
    String detail =
        "%s order=%s placed=%d listed=%d crashes=%d blamed=%d"
            .formatted(
                worker.info.id(),
                task.order,
                byUs ? term.now.mono() - task.placedMillis : 0,
                byUs && task.listedMillis > 0 ? task.listedMillis - task.placedMillis : 0,
                task.crashes,
                task.blamed);
    term.logEvent("run.lost", task.key(), detail);
  }
}
