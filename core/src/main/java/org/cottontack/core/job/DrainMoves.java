package org.cottontack.core.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cottontack.core.id.WorkerId;

/**
 * Moves long-running tasks off workers that are about to leave. If the leader changed right after
 * the worker left, the next leader would wait out the leases of a worker that it never reached, and
 * the task would be absent for 9 s. A run is stopped only if its task can be placed at once: not
 * while it is pinned or has an orphan, and only for room that no earlier move and no task that has
 * run before is about to take. That room is held for it until its run has ended. Tasks that never
 * ran hold no run back. From each worker, one task moves at a time.
 */
final class DrainMoves {

  /**
   * A move whose run has not ended yet.
   *
   * @param task the task
   * @param from the worker that drains
   * @param to the worker that has room for it
   */
  private record Move(Task task, WorkerIncarnation from, WorkerId to) {}

  private final Term term;
  private final Orders orders;
  private final WorkerSelector workerSelector;

  /** The moves in progress by the run to stop. */
  private final Map<RunKey, Move> moves = new HashMap<>();

  DrainMoves(Term term, Orders orders, WorkerSelector workerSelector) {
    this.term = term;
    this.orders = orders;
    this.workerSelector = workerSelector;
  }

  /** Moves the next task off a worker that drains, and repeats stops that had no effect. */
  void move(Worker worker) {
    List<RunKey> stopping =
        worker.placed.keySet().stream().filter(worker.stopsSent::containsKey).toList();
    stopping.forEach(
        run -> {
          orders.stop(worker, run);
          Optional.ofNullable(moves.get(run)).ifPresent(this::holdPlace);
        });
    if (!stopping.isEmpty()) {
      return;
    }
    moves.entrySet().removeIf(move -> !inProgress(move.getKey(), move.getValue()));
    for (Task task : List.copyOf(worker.placed.values())) {
      Optional<Worker> target = mayMove(task) ? target(task) : Optional.empty();
      if (target.isPresent()) {
        Move move = new Move(task, worker.incarnation(), target.get().info.id());
        moves.put(task.key(), move);
        holdPlace(move);
        term.logEvent("run.movedOff", task.key(), worker.info.id() + " drains");
        orders.stop(worker, task.key());
        return;
      }
    }
  }

  private void holdPlace(Move move) {
    Optional.ofNullable(term.workers.get(move.to()))
        .ifPresent(target -> target.holdPlace(move.task(), term.now.mono()));
  }

  private boolean inProgress(RunKey run, Move move) {
    return move.task().runsAs(move.from(), run.run())
        && term.worker(move.from()).filter(worker -> worker.info.draining()).isPresent();
  }

  private boolean mayMove(Task task) {
    return task.spec.is(StepSpec.Trait.LASTS)
        && task.order == Task.Order.CONFIRMED
        && !task.job.phase.terminal()
        && !task.pinned(term.now.mono())
        && term.workers.values().stream().noneMatch(worker -> hasOrphan(worker, task));
  }

  private static boolean hasOrphan(Worker worker, Task task) {
    return worker.orphans.keySet().stream().anyMatch(run -> run.task().equals(task.name));
  }

  private Optional<Worker> target(Task task) {
    List<Worker> targets =
        term.workers.values().stream().filter(worker -> !spreads(worker, task)).toList();
    return choose(task, targets).filter(worker -> !wanted(worker));
  }

  /** Returns whether a task moves to a worker that may not run another one of its step. */
  private boolean spreads(Worker worker, Task task) {
    return task.spec.maxPerWorker() > 0
        && moves.values().stream()
            .filter(move -> move.to().equals(worker.info.id()))
            .anyMatch(move -> move.task().name.step().equals(task.name.step()));
  }

  /** Returns whether a task that has run before is about to be placed on a worker. */
  private boolean wanted(Worker worker) {
    return term.jobsToPlace.stream()
        .filter(job -> job.spec.isLongRunning())
        .flatMap(Job::ready)
        .filter(Task::isMissed)
        .anyMatch(task -> choose(task, List.of(worker)).isPresent());
  }

  private Optional<Worker> choose(Task task, List<Worker> workers) {
    JobQueue queue = term.table.current(task.job.spec.queue());
    return workerSelector.choose(task, queue, workers, term.now.mono());
  }
}
