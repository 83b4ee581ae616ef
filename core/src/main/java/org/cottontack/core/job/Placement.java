package org.cottontack.core.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses a worker for a task. The load is a stream of short tasks that want to start at once
 * beside tasks that serve users and tasks that fill: spreading by free processor time keeps room on
 * every worker for the next wide step, and tasks that fill keep away from tasks that serve.
 */
final class Placement {

  private Placement() {}

  /** Returns the worker to run a task on, or nothing when none has room. */
  static Optional<Worker> choose(
      Task task, JobQueue queue, Collection<Worker> workers, long nowMillis) {
    return workers.stream()
        .filter(worker -> worker.usable(nowMillis))
        .filter(worker -> fits(task, queue, worker))
        .max(preference(task));
  }

  private static boolean fits(Task task, JobQueue queue, Worker worker) {
    StepSpec spec = task.spec;
    return worker.info.pool().equals(queue.pool())
        && worker.free().holds(spec.reserved())
        && spec.requiredLabel().stream().allMatch(worker.info.labels()::contains)
        && (spec.maxPerWorker() == 0 || worker.tasksOf(task.name.step()) < spec.maxPerWorker());
  }

  private static Comparator<Worker> preference(Task task) {
    Comparator<Worker> near =
        Comparator.comparing(
            worker -> task.spec.rack().stream().allMatch(worker.info.labels()::contains));
    Comparator<Worker> harmless =
        Comparator.comparing(worker -> !task.spec.is(StepSpec.Trait.FILLS) || !worker.serving());
    return near.thenComparing(harmless)
        .thenComparingLong(Worker::leftoverCpu)
        .thenComparing(worker -> worker.info.id());
  }
}
