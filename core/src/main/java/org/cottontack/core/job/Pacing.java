package org.cottontack.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Paces best-effort tasks where a serving task would exceed its bound. The pace is the share of
 * full speed that a run may use, in percent. The load of services swings within seconds, reports
 * come half a second late, and most best-effort tasks have no part in the excess. So with each
 * report the expected headroom of each service on the worker is shared out: first to the tasks that
 * take least of it for the work they do, and what remains to the others. If a tail stays over its
 * bound all the same, every best-effort task beside it is halted.
 */
final class Pacing {

  /** Share of the bound above which the true tail may be over the bound. */
  private static final double NEAR_BOUND_SHARE = 0.95;

  /**
   * Multiple of the bound above which everything that does harm is halted, whatever its estimated
   * effect: a queue that has grown this long shrinks only if nothing takes headroom.
   */
  private static final double FAR_OVER = 2;

  /** Share of the bound below which the true tail is surely within the bound. */
  private static final double WITHIN_BOUND_SHARE = 0.75;

  /**
   * How far ahead headroom is shared out, in milliseconds: the middle of the time until the orders
   * that follow the next report take effect.
   */
  private static final long LOOKAHEAD_MILLIS = 300;

  /**
   * Difference between reported and predicted headroom that is normal: its standard deviation is
   * 0.23 to 0.3. Only what is missing beyond that is corrected at once; otherwise runs would be
   * slowed and moved without cause.
   */
  private static final double PREDICTION_ERROR = 0.3;

  /**
   * Time over the bound after which all best-effort tasks are halted, in milliseconds: half of the
   * time that a tail is allowed to be over its bound.
   */
  private static final long HALT_AFTER_MILLIS = 1_800;

  /**
   * Work that a move costs in addition to the unsaved work, in milliseconds: the order, the start,
   * and the restore of a checkpoint.
   */
  private static final long MOVE_MILLIS = 300;

  /**
   * Progress, in percent, below which a run without checkpoints may be stopped and lose its work.
   */
  private static final int MAX_PROGRESS_TO_DISCARD = 50;

  /** Paces are multiples of this, in percent. */
  private static final int PACE_STEP = 5;

  /**
   * Smallest decrease of a pace that is worth an order, in percent. {@link #MIN_INCREASE} is that
   * of an increase.
   */
  private static final int MIN_DECREASE = 25;

  private static final int MIN_INCREASE = 20;

  private final Interference interference;

  Pacing(Interference interference) {
    this.interference = interference;
  }

  /** Returns the orders that set the best-effort tasks of a worker to the right pace. */
  List<JobEffect> adjust(Worker worker, long nowMillis) {
    worker.serving().forEach(task -> updateOverSince(task, nowMillis));
    List<Task> bestEffort =
        worker.bestEffort().filter(task -> task.order == Task.Order.CONFIRMED).toList();
    List<JobEffect> orders = new ArrayList<>();
    if (bestEffort.isEmpty()) {
      return orders;
    }
    boolean urgent =
        worker
            .serving()
            .anyMatch(
                task ->
                    task.overSinceMillis > 0
                        && nowMillis - task.overSinceMillis > HALT_AFTER_MILLIS);
    if (urgent) {
      bestEffort.forEach(task -> setPace(worker, task, 0, nowMillis, orders));
    } else {
      shareHeadroom(worker, bestEffort, nowMillis, orders);
    }
    return orders;
  }

  private static double ratio(Task serving) {
    return serving.load / serving.spec.targetMillis();
  }

  /**
   * Records since when a tail has been near or over its bound. Reports are noisy: a report a little
   * under the bound between two over it does not end the span. Otherwise a tail could stay over its
   * bound for long without being treated as such.
   */
  private static void updateOverSince(Task serving, long nowMillis) {
    if (ratio(serving) < WITHIN_BOUND_SHARE) {
      serving.overSinceMillis = 0;
    } else if (serving.overSinceMillis == 0 && ratio(serving) > NEAR_BOUND_SHARE) {
      serving.overSinceMillis = nowMillis;
    }
  }

  private void shareHeadroom(
      Worker worker, List<Task> bestEffort, long nowMillis, List<JobEffect> orders) {
    Map<Task, Double> headroom = new HashMap<>();
    worker
        .services()
        .forEach(task -> headroom.put(task, availableHeadroom(task, nowMillis + LOOKAHEAD_MILLIS)));
    bestEffort.stream()
        .map(task -> Claim.of(worker, task, interference))
        .sorted(Comparator.comparingDouble(Claim::headroomPerCore))
        .forEach(
            claim -> {
              int pace = claim.pace(headroom);
              headroom.replaceAll(
                  (serving, left) -> left - claim.effects().get(serving) * pace / Task.FULL_PACE);
              changePace(worker, claim.task(), pace, nowMillis, orders);
            });
  }

  /**
   * What a best-effort task takes from the services on its worker at full pace, evaluated once.
   *
   * @param task the task
   * @param effects headroom that it takes from each service
   * @param headroomPerCore headroom that it takes from the worst-off service, for each core that it
   *     asks for
   */
  private record Claim(Task task, Map<Task, Double> effects, double headroomPerCore) {

    static Claim of(Worker worker, Task task, Interference interference) {
      Map<Task, Double> effects = new HashMap<>();
      worker
          .services()
          .forEach(serving -> effects.put(serving, interference.effect(worker, serving, task)));
      double most = effects.values().stream().mapToDouble(effect -> effect).max().orElse(0);
      return new Claim(task, effects, most / Math.max(1, task.spec.need().cpuMillis()));
    }

    /** Returns the pace at which the task takes no more than the headroom that is left. */
    int pace(Map<Task, Double> headroom) {
      double minShare =
          headroom.entrySet().stream()
              .mapToDouble(entry -> share(entry.getValue(), effects.get(entry.getKey())))
              .min()
              .orElse(1);
      int pace = (int) (Math.min(1, minShare) * Task.FULL_PACE);
      return pace / PACE_STEP * PACE_STEP;
    }

    private static double share(double headroom, double effect) {
      return effect < ContentionSnapshot.NEGLIGIBLE_EFFECT ? 1 : Math.max(0, headroom) / effect;
    }
  }

  /** Returns how much of a service's headroom may be taken at a time. */
  private double availableHeadroom(Task serving, long millis) {
    if (ratio(serving) > FAR_OVER) {
      return 0;
    }
    return interference.availableHeadroom(serving, millis)
        - Math.max(0, serving.headroomShortfall - PREDICTION_ERROR);
  }

  private static void changePace(
      Worker worker, Task task, int pace, long nowMillis, List<JobEffect> orders) {
    boolean extreme = pace == 0 || pace == Task.FULL_PACE;
    int change = pace - task.pace;
    if (task.pace == Task.INHERITED_PACE
        || extreme
        || change <= -MIN_DECREASE
        || change >= MIN_INCREASE) {
      setPace(worker, task, pace, nowMillis, orders);
    }
  }

  private static void setPace(
      Worker worker, Task task, int pace, long nowMillis, List<JobEffect> orders) {
    if (task.pace == pace) {
      return;
    }
    task.paced(pace, nowMillis);
    orders.add(new JobEffect.PaceRun(worker.target(), task.key(), pace));
  }

  /**
   * Returns a best-effort task that has missed more work at a low pace than its stop would cost.
   * How long the task would stay slow is unknown; waiting until the missed work equals the cost of
   * a stop loses at most twice what a choice with that knowledge would. A move is expensive where
   * checkpoints are far apart and cheap where they are close.
   */
  Optional<Task> runToMove(Worker worker, long nowMillis) {
    return worker
        .bestEffort()
        .filter(task -> task.order == Task.Order.CONFIRMED && task.pace < Task.LOW_PACE)
        .filter(task -> !task.pinned(nowMillis))
        .filter(Pacing::losesLittle)
        .filter(task -> task.missedMillis(nowMillis) > MOVE_MILLIS + task.unsavedMillis(nowMillis))
        .map(task -> Claim.of(worker, task, interference))
        .max(Comparator.comparingDouble(Claim::headroomPerCore))
        .map(Claim::task);
  }

  private static boolean losesLittle(Task task) {
    return task.spec.is(StepSpec.Trait.CHECKPOINTS) || task.progress < MAX_PROGRESS_TO_DISCARD;
  }
}
