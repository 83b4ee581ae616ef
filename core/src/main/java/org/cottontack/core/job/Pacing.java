package org.cottontack.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Slows tasks that fill where a task that serves comes near its bound. The load: interference comes
 * with load swings of some seconds and is reported half a second late. So the likely culprit is
 * slowed first and the effect awaited; if that does not help in time all are halted; and pace
 * returns in steps once all tails are low again.
 */
final class Pacing {

  /** Share of the bound above which something is slowed. */
  private static final double HIGH_SHARE = 0.85;

  /** Share of the bound below which pace returns. */
  private static final double LOW_SHARE = 0.6;

  /** Share of the bound from which a tail may in truth be over it. */
  private static final double NEAR_SHARE = 0.95;

  /** Share of the bound under which a tail is surely within it. */
  private static final double CALM_SHARE = 0.75;

  /** Time until an order shows in the reports, in milliseconds: 100 to act, 500 to measure. */
  private static final long SETTLE_MILLIS = 650;

  /** Time over the bound after which all are halted, in milliseconds: half of what is allowed. */
  private static final long PATIENCE_MILLIS = 1_800;

  /** Time at low pace after which a task should rather run elsewhere, in milliseconds. */
  private static final long STUCK_MILLIS = 1_200;

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
    Optional<Task> worst = worker.serving().max(Comparator.comparingDouble(Pacing::ratio));
    if (fillers.isEmpty() || worst.isEmpty()) {
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
    } else if (ratio(worst.get()) < LOW_SHARE && settled) {
      raise(worker, fillers, nowMillis, orders);
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
        .max(
            Comparator.comparingDouble(
                task -> interference.effect(worker, worst, task) * task.pace))
        .ifPresent(
            task -> {
              int next = ratio(worst) > 1 || task.pace <= FIRST_PACE ? 0 : task.pace / 2;
              set(worker, task, next, nowMillis, orders);
            });
  }

  private void raise(Worker worker, List<Task> fillers, long nowMillis, List<JobEffect> orders) {
    fillers.stream()
        .filter(task -> task.pace < Task.FULL_PACE)
        .min(Comparator.comparingDouble(task -> interference.strain(worker, task)))
        .ifPresent(
            task -> {
              int next = Math.min(Task.FULL_PACE, Math.max(FIRST_PACE, 2 * task.pace));
              set(worker, task, next, nowMillis, orders);
            });
  }

  private static void set(
      Worker worker, Task task, int pace, long nowMillis, List<JobEffect> orders) {
    if (task.pace == pace) {
      return;
    }
    task.pace = pace;
    task.pacedMillis = nowMillis;
    worker.pacedMillis = nowMillis;
    orders.add(new JobEffect.PaceRun(worker.info.id(), worker.info.address(), task.key(), pace));
  }

  /** Returns a task that fills and has been held at a low pace for long. */
  Optional<Task> stuck(Worker worker, long nowMillis) {
    return worker
        .filling()
        .filter(task -> task.order == Task.Order.CONFIRMED && task.pace < LOW_PACE)
        .filter(task -> nowMillis - task.pacedMillis > STUCK_MILLIS)
        .max(Comparator.comparingDouble(task -> interference.strain(worker, task)));
  }
}
