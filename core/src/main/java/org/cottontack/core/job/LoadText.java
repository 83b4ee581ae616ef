package org.cottontack.core.job;

import java.util.Collection;
import java.util.function.Predicate;

/** Formats the load of all workers as one line, for logs. */
final class LoadText {

  private LoadText() {}

  static String of(Collection<Worker> workers, Collection<Job> jobs, long nowMillis) {
    long usable = workers.stream().filter(worker -> worker.usable(nowMillis)).count();
    long cores = workers.stream().mapToLong(w -> w.info.capacity().cpuMillis()).sum() / 1_000;
    return ("usable=%d of %d cores=%d serving=%d short=%d filling=%d paced=%d over=%d "
            + "waitingServing=%d waitingShort=%d waitingFilling=%d")
        .formatted(
            usable,
            workers.size(),
            cores,
            cores(workers, task -> task.spec.serves()),
            cores(workers, LoadText::isShort),
            cores(workers, task -> task.spec.is(StepSpec.Trait.FILLS)),
            workers.stream()
                .flatMap(w -> w.placed.values().stream())
                .filter(task -> task.pace < Task.FULL_PACE)
                .count(),
            workers.stream().flatMap(Worker::serving).filter(LoadText::overBound).count(),
            waiting(jobs, task -> task.spec.serves()),
            waiting(jobs, LoadText::isShort),
            waiting(jobs, task -> task.spec.is(StepSpec.Trait.FILLS)));
  }

  private static boolean overBound(Task task) {
    return task.load > task.spec.targetMillis();
  }

  private static boolean isShort(Task task) {
    return !task.spec.serves() && !task.spec.is(StepSpec.Trait.FILLS);
  }

  private static long cores(Collection<Worker> workers, Predicate<Task> which) {
    return workers.stream()
            .flatMap(worker -> worker.placed.values().stream())
            .filter(which)
            .mapToLong(task -> task.spec.need().cpuMillis())
            .sum()
        / 1_000;
  }

  private static long waiting(Collection<Job> jobs, Predicate<Task> which) {
    return jobs.stream()
        .filter(job -> !job.phase.terminal())
        .flatMap(Job::ready)
        .filter(which)
        .count();
  }
}
