package org.cottontack.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Slows tasks that fill where a task that serves would come over its bound. The load: services
 * swing within seconds, reports come half a second late, and most tasks that fill have no part in
 * it. So with each report the headroom that each service there will have is shared out: first to
 * those that take least of it for the work they do, and what is left to the others. A tail that
 * stays over its bound all the same halts everything beside it.
 */
final class Pacing {

  /** Share of the bound from which a tail may in truth be over it. */
  private static final double NEAR_SHARE = 0.95;

  /**
   * Share of the bound above which all that does harm is halted, whatever it was thought to do: a
   * queue that has grown so far shrinks only if nothing is taken.
   */
  private static final double FAR_OVER = 2;

  /** Share of the bound under which a tail is surely within it. */
  private static final double CALM_SHARE = 0.75;

  /**
   * How far ahead headroom is shared out, in milliseconds: the middle of the time until the next
   * report's orders act.
   */
  private static final long AHEAD_MILLIS = 300;

  /**
   * Headroom by which reports differ from what was predicted though nothing is wrong: their
   * standard deviation is 0.23 to 0.3. Only what is missing beyond that is made up for at once;
   * otherwise runs are slowed and moved for nothing.
   */
  private static final double ROUGH = 0.3;

  /** Time over the bound after which all are halted, in milliseconds: half of what is allowed. */
  private static final long PATIENCE_MILLIS = 1_800;

  /**
   * Work that a move costs beside what is not saved, in milliseconds: the order, the start, and the
   * way back to a checkpoint.
   */
  private static final long MOVE_MILLIS = 300;

  /** Progress up to which a run that keeps no checkpoints is given up, in percent. */
  private static final int LITTLE_PROGRESS = 50;

  /** Paces are multiples of this, in percent. */
  private static final int STEP = 5;

  /** Least change that is worth an order, in percent. */
  private static final int LEAST_DROP = 25;

  private static final int LEAST_RISE = 20;

  private final Interference interference;

  Pacing(Interference interference) {
    this.interference = interference;
  }

  /** Returns the orders that bring a worker's tasks that fill to the right pace. */
  List<JobEffect> adjust(Worker worker, long nowMillis) {
    worker.serving().forEach(task -> watch(task, nowMillis));
    List<Task> fillers =
        worker.bestEffort().filter(task -> task.order == Task.Order.CONFIRMED).toList();
    List<JobEffect> orders = new ArrayList<>();
    if (fillers.isEmpty()) {
      return orders;
    }
    boolean urgent =
        worker
            .serving()
            .anyMatch(
                task ->
                    task.overSinceMillis > 0 && nowMillis - task.overSinceMillis > PATIENCE_MILLIS);
    if (urgent) {
      fillers.forEach(task -> set(worker, task, 0, nowMillis, orders));
    } else {
      share(worker, fillers, nowMillis, orders);
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

  private void share(Worker worker, List<Task> fillers, long nowMillis, List<JobEffect> orders) {
    Map<Task, Double> room = new HashMap<>();
    worker.services().forEach(task -> room.put(task, room(task, nowMillis + AHEAD_MILLIS)));
    fillers.stream()
        .sorted(Comparator.comparingDouble(task -> harm(worker, task)))
        .forEach(
            task -> {
              int pace = pace(worker, task, room);
              room.replaceAll(
                  (serving, left) ->
                      left - interference.effect(worker, serving, task) * pace / Task.FULL_PACE);
              change(worker, task, pace, nowMillis, orders);
            });
  }

  /** Returns how much of a service's headroom may be taken at a time. */
  private double room(Task serving, long millis) {
    if (ratio(serving) > FAR_OVER) {
      return 0;
    }
    return interference.roomFor(serving, millis) - Math.max(0, serving.excess - ROUGH);
  }

  /** Returns the headroom that a task takes from the worst-off service for each core. */
  private double harm(Worker worker, Task filling) {
    return worker.services().stream()
            .mapToDouble(serving -> interference.effect(worker, serving, filling))
            .max()
            .orElse(0)
        / Math.max(1, filling.spec.need().cpuMillis());
  }

  private int pace(Worker worker, Task filling, Map<Task, Double> room) {
    double least =
        room.entrySet().stream()
            .mapToDouble(
                entry -> {
                  double effect = interference.effect(worker, entry.getKey(), filling);
                  return effect < ContentionSnapshot.LEAST_EFFECT
                      ? 1
                      : Math.max(0, entry.getValue()) / effect;
                })
            .min()
            .orElse(1);
    int pace = (int) (Math.min(1, least) * Task.FULL_PACE);
    return pace / STEP * STEP;
  }

  private static void change(
      Worker worker, Task task, int pace, long nowMillis, List<JobEffect> orders) {
    boolean end = pace == 0 || pace == Task.FULL_PACE;
    int change = pace - task.pace;
    if (task.pace == Task.INHERITED_PACE || end || change <= -LEAST_DROP || change >= LEAST_RISE) {
      set(worker, task, pace, nowMillis, orders);
    }
  }

  private static void set(
      Worker worker, Task task, int pace, long nowMillis, List<JobEffect> orders) {
    if (task.pace == pace) {
      return;
    }
    task.paced(pace, nowMillis);
    orders.add(new JobEffect.PaceRun(worker.target(), task.key(), pace));
  }

  /**
   * Returns a task that fills and has missed as much at a low pace as its stop would cost it. How
   * long it will stay slow is not known; waiting for just that loses at most twice what knowing
   * would. Where checkpoints are far apart a move is dear, where they are close it is not.
   */
  Optional<Task> stuck(Worker worker, long nowMillis) {
    return worker
        .bestEffort()
        .filter(task -> task.order == Task.Order.CONFIRMED && task.pace < Task.LOW_PACE)
        .filter(task -> !task.pinned(nowMillis))
        .filter(Pacing::losesLittle)
        .filter(task -> task.missedMillis(nowMillis) > MOVE_MILLIS + task.unsavedMillis(nowMillis))
        .max(Comparator.comparingDouble(task -> harm(worker, task)));
  }

  private static boolean losesLittle(Task task) {
    return task.spec.is(StepSpec.Trait.CHECKPOINTS) || task.progress < LITTLE_PROGRESS;
  }
}
