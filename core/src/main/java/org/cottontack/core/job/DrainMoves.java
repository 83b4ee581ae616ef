package org.cottontack.core.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
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
    stopping.forEach(run -> orders.stop(worker, run));
    if (!stopping.isEmpty()) {
      return;
    }
    moves.entrySet().removeIf(move -> !inProgress(move.getKey(), move.getValue()));
    for (Task task : List.copyOf(worker.placed.values())) {
      Optional<Worker> target = mayMove(task) ? target(task) : Optional.empty();
      if (target.isPresent()) {
        moves.put(task.key(), new Move(task, worker.incarnation(), target.get().info.id()));
        term.logEvent("run.movedOff", task.key(), worker.info.id() + " drains");
        target.get().holdPlace(task, term.now.mono());
        orders.stop(worker, task.key());
        return;
      }
    }
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
    Predicate<Worker> free = worker -> hasRoomBesideMoves(worker, task);
    return choose(task, term.workers.values().stream().filter(free).toList())
        .filter(worker -> !wanted(worker));
  }

  private boolean hasRoomBesideMoves(Worker worker, Task task) {
    List<Task> others =
        moves.values().stream()
            .filter(move -> move.to().equals(worker.info.id()))
            .map(Move::task)
            .toList();
    Resources taken =
        others.stream().map(other -> other.spec.reserved()).reduce(Resources.NONE, Resources::plus);
    boolean spread =
        task.spec.maxPerWorker() > 0
            && others.stream().anyMatch(other -> other.name.step().equals(task.name.step()));
    return !spread && worker.free().minus(taken).holds(task.spec.reserved());
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
