package org.cottontack.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Slows tasks that fill where a task that serves comes near its bound. The load: interference comes
 * with load swings of some seconds and is reported half a second late, and most tasks that fill
 * have no part in it. So the likely culprit is slowed first and the effect awaited; if that does
 * not help in time all are halted; and what is known to do no harm gets its pace back as soon as
 * the tails allow it.
 */
final class Pacing {

  /** Share of the bound above which something is slowed. */
  private static final double HIGH_SHARE = 0.85;

  /** Share of the bound below which pace returns to what is known to do no harm. */
  private static final double RETURN_SHARE = 0.8;

  /** Share of the bound below which pace returns in steps to what may do harm. */
  private static final double LOW_SHARE = 0.6;

  /** Share of the bound from which a tail may in truth be over it. */
  private static final double NEAR_SHARE = 0.95;

  /** Share of the bound under which a tail is surely within it. */
  private static final double CALM_SHARE = 0.75;

  /** Growth of a tail's logarithm below which a task is no culprit: less than reports differ by. */
  private static final double HARMLESS = 0.08;

  /** Time until an order shows in the reports, in milliseconds: 100 to act, 500 to measure. */
  private static final long SETTLE_MILLIS = 650;

  /** Time over the bound after which all are halted, in milliseconds: half of what is allowed. */
  private static final long PATIENCE_MILLIS = 1_800;

  /** Time at low pace after which a task should rather run elsewhere, in milliseconds. */
  private static final long STUCK_MILLIS = 1_200;

  /** Progress up to which a run that keeps no checkpoints is given up, in percent. */
  private static final int LITTLE_PROGRESS = 50;

  private static final int LOW_PACE = 50;
  private static final int FIRST_PACE = 25;

  private final Interference interference;

  Pacing(Interference interference) {
    this.interference = interference;
  }

  /** Returns the orders that bring a worker's tasks that fill to the right pace. */
  List<JobEffect> adjust(Worker worker, long nowMillis) {
    worker.serving().forEach(task -> watch(task, nowMillis));
    List<JobEffect> orders = new ArrayList<>();
    List<Task> fillers =
        worker.filling().filter(task -> task.order == Task.Order.CONFIRMED).toList();
    if (fillers.isEmpty()) {
      return orders;
    }
    Optional<Task> worst = worker.serving().max(Comparator.comparingDouble(Pacing::ratio));
    if (worst.isEmpty()) {
      // What was slowed beside a task that has left would otherwise stay slow until its end.
      fillers.forEach(task -> set(worker, task, Task.FULL_PACE, nowMillis, orders));
      return orders;
    }
    boolean urgent =
        worst.get().overSinceMillis > 0
            && nowMillis - worst.get().overSinceMillis > PATIENCE_MILLIS;
    boolean settled = nowMillis - worker.pacedMillis >= SETTLE_MILLIS;
    if (urgent) {
      fillers.forEach(task -> set(worker, task, 0, nowMillis, orders));
    } else if (ratio(worst.get()) > HIGH_SHARE && settled) {
      slow(worker, worst.get(), fillers, nowMillis, orders);
    } else if (ratio(worst.get()) < RETURN_SHARE && settled) {
      raise(worker, worst.get(), fillers, nowMillis, orders);
    }
    return orders;
  }

  private static double ratio(Task serving) {
    return serving.load / serving.spec.targetMillis();
  }

  /**
   * Notes since when a tail has been near or over its bound. Reports are rough: one that reads a
   * little under the bound between two that read over it does not end the span, or a tail could
   * stay over its bound for long without ever counting as such.
   */
  private static void watch(Task serving, long nowMillis) {
    if (ratio(serving) < CALM_SHARE) {
      serving.overSinceMillis = 0;
    } else if (serving.overSinceMillis == 0 && ratio(serving) > NEAR_SHARE) {
      serving.overSinceMillis = nowMillis;
    }
  }

  private void slow(
      Worker worker, Task worst, List<Task> fillers, long nowMillis, List<JobEffect> orders) {
    fillers.stream()
        .filter(task -> task.pace > 0)
        .filter(task -> interference.effect(worker, worst, task) > HARMLESS)
        .max(
            Comparator.comparingDouble(
                task -> interference.effect(worker, worst, task) * task.pace))
        .ifPresent(
            task -> {
              int next = ratio(worst) > 1 || task.pace <= FIRST_PACE ? 0 : task.pace / 2;
              set(worker, task, next, nowMillis, orders);
            });
  }

  private void raise(
      Worker worker, Task worst, List<Task> fillers, long nowMillis, List<JobEffect> orders) {
    List<Task> slowed = fillers.stream().filter(task -> task.pace < Task.FULL_PACE).toList();
    slowed.stream()
        .filter(task -> worker.servingImages().stream().allMatch(s -> harmless(worker, s, task)))
        .forEach(task -> set(worker, task, Task.FULL_PACE, nowMillis, orders));
    if (orders.isEmpty() && ratio(worst) < LOW_SHARE) {
      slowed.stream()
          .filter(task -> interference.strain(worker, task, higher(task)) <= Placement.MOST_STRAIN)
          .min(
              Comparator.comparingDouble(task -> interference.strain(worker, task, Task.FULL_PACE)))
          .ifPresent(task -> set(worker, task, higher(task), nowMillis, orders));
    }
  }

  private static int higher(Task task) {
    return Math.min(Task.FULL_PACE, Math.max(FIRST_PACE, 2 * task.pace));
  }

  private boolean harmless(Worker worker, Task serving, Task task) {
    return interference.effect(worker, serving, task) <= HARMLESS;
  }

  private static void set(
      Worker worker, Task task, int pace, long nowMillis, List<JobEffect> orders) {
    if (task.pace == pace) {
      return;
    }
    task.paced(pace, nowMillis);
    worker.pacedMillis = nowMillis;
    orders.add(new JobEffect.PaceRun(worker.info.id(), worker.info.address(), task.key(), pace));
  }

  /**
   * Returns a task that fills, has been held at a low pace for long, and would lose little by being
   * stopped.
   */
  Optional<Task> stuck(Worker worker, long nowMillis) {
    return worker
        .filling()
        .filter(task -> task.order == Task.Order.CONFIRMED && task.pace < LOW_PACE)
        .filter(Pacing::losesLittle)
        .filter(task -> nowMillis - task.pacedMillis > STUCK_MILLIS)
        .max(Comparator.comparingDouble(task -> interference.strain(worker, task, Task.FULL_PACE)));
  }

  private static boolean losesLittle(Task task) {
    return task.spec.is(StepSpec.Trait.CHECKPOINTS) || task.progress < LITTLE_PROGRESS;
  }
}
