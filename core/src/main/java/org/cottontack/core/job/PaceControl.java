package org.cottontack.core.job;

import java.util.List;
import java.util.stream.Stream;

/**
 * Slows tasks that fill beside tasks that serve. The load: interference differs by image and
 * changes within seconds, and is seen half a second late. Backing off to nothing at once and
 * returning in steps keeps a serving task's tail above its bound for one or two reports only.
 */
final class PaceControl {

  /** Share of the bound above which tasks that fill stand still. */
  private static final double STOP_SHARE = 0.9;

  /** Share of the bound below which they get more. */
  private static final double RAISE_SHARE = 0.6;

  /** How much more, in percent of full speed, at each report. */
  private static final int RAISE_STEP = 20;

  private PaceControl() {}

  /** Returns the orders that bring a worker's tasks that fill to the right pace. */
  static List<JobEffect> adjust(Worker worker) {
    double pressure =
        worker.placed.values().stream()
            .filter(task -> task.spec.serves())
            .mapToDouble(task -> task.load / task.spec.targetMillis())
            .max()
            .orElse(0);
    return fillers(worker).flatMap(task -> order(worker, task, next(task.pace, pressure))).toList();
  }

  private static Stream<Task> fillers(Worker worker) {
    return worker.placed.values().stream()
        .filter(task -> task.spec.is(StepSpec.Trait.FILLS))
        .filter(task -> task.order == Task.Order.CONFIRMED);
  }

  private static int next(int pace, double pressure) {
    if (pressure > STOP_SHARE) {
      return 0;
    }
    return pressure < RAISE_SHARE ? Math.min(Task.FULL_PACE, pace + RAISE_STEP) : pace;
  }

  private static Stream<JobEffect> order(Worker worker, Task task, int percent) {
    if (percent == task.pace) {
      return Stream.empty();
    }
    task.pace = percent;
    return Stream.of(
        new JobEffect.PaceRun(worker.info.id(), worker.info.address(), task.key(), percent));
  }
}
