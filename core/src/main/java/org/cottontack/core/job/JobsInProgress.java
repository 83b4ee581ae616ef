package org.cottontack.core.job;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Finishes best-effort jobs before others of their image begin. In a burst, the order by urgency
 * alone begins more jobs than there are places, and all of them become late. A best-effort job that
 * has not started is placed after the other useful jobs of its priority while a useful job of one
 * of its images that has started waits for places in its pool. It is not held back beyond that:
 * where the jobs in progress cannot use a place, holding it back lost 0.005 of the value of an
 * uneven load (mean of six replays).
 */
final class JobsInProgress {

  /** Groups within one priority, in the order of placement. */
  private enum Turn {
    BY_URGENCY,
    DEFERRED,
    USELESS
  }

  private record PoolImage(String pool, String image) {}

  private record Placed(Job job, Turn turn) {}

  private JobsInProgress() {}

  /**
   * Returns jobs in the order of placement.
   *
   * @param ranked the jobs with waiting tasks, by urgency
   * @param useful whether a job can still be complete within the time that is useful to its caller
   */
  static List<Job> order(List<Job> ranked, Predicate<Job> useful) {
    Set<PoolImage> images =
        ranked.stream()
            .filter(job -> started(job) && useful.test(job))
            .flatMap(Job::ready)
            .filter(task -> task.spec.is(StepSpec.Trait.FILLS))
            .map(task -> new PoolImage(task.job.spec.queue().pool(), task.spec.image()))
            .collect(Collectors.toSet());
    if (images.isEmpty()) {
      return ranked;
    }
    return ranked.stream()
        .map(job -> new Placed(job, turn(job, images, useful)))
        .sorted(
            Comparator.comparingInt((Placed placed) -> placed.job().spec.queue().priority())
                .thenComparing(Placed::turn))
        .map(Placed::job)
        .toList();
  }

  private static Turn turn(Job job, Set<PoolImage> images, Predicate<Job> useful) {
    if (job.spec.isLongRunning() || job.spec.schedule().hasStartTime()) {
      return Turn.BY_URGENCY;
    }
    if (!useful.test(job)) {
      return Turn.USELESS;
    }
    return !started(job) && hasBestEffortStepOf(job, images) ? Turn.DEFERRED : Turn.BY_URGENCY;
  }

  private static boolean started(Job job) {
    return job.phase != JobPhase.QUEUED;
  }

  private static boolean hasBestEffortStepOf(Job job, Set<PoolImage> images) {
    String pool = job.spec.queue().pool();
    return job.spec.steps().stream()
        .filter(step -> step.is(StepSpec.Trait.FILLS))
        .anyMatch(step -> images.contains(new PoolImage(pool, step.image())));
  }
}
