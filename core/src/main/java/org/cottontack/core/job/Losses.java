package org.cottontack.core.job;

import java.util.List;

/** What becomes of runs whose worker is lost: they wait for another one. */
final class Losses {

  private final Term term;

  Losses(Term term) {
    this.term = term;
  }

  /** Takes in that a worker's life has ended, and all that ran there with it. */
  void reborn(Worker worker) {
    term.note("worker.reborn", worker.info.id(), "runs=" + worker.placed.size());
    lose(worker);
    term.workers.remove(worker.info.id());
  }

  /** Takes in that all leases of a worker out of touch have ended. */
  void lapsed(Worker worker) {
    if (worker.placed.isEmpty()) {
      return;
    }
    term.note("worker.lapsed", worker.info.id(), "runs=" + worker.placed.size());
    lose(worker);
  }

  private void lose(Worker worker) {
    List<Task> lost = List.copyOf(worker.placed.values());
    lost.forEach(task -> noteLost(worker, task));
    lost.forEach(term::release);
  }

  private void noteLost(Worker worker, Task task) {
    String detail =
        "%s order=%s placed=%d listed=%d"
            .formatted(
                worker.info.id(),
                task.order,
                term.now.mono() - task.placedMillis,
                task.listedMillis > 0 ? task.listedMillis - task.placedMillis : 0);
    term.note("run.lost", task.key(), detail);
  }
}
