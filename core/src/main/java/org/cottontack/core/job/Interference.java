package org.cottontack.core.job;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how much tasks that fill slow tasks that serve, for each pair of images. The tail of a
 * serving task grows by a factor for each share of the processors that an image beside it uses, and
 * that factor differs widely between pairs: most pairs hardly matter, some multiply the tail by
 * ten. The model is linear in the logarithm of the tail and is corrected with each report by the
 * normalised least mean squares rule (Widrow and Hoff), so that it follows changes.
 */
final class Interference {

  /** A serving task alone has a tail of about this share of its bound. */
  static final double QUIET_SHARE = 0.4;

  /** Weight of a pair never seen: that of the many pairs that hardly matter. */
  private static final double PRIOR = 2.0;

  /** Largest weight; keeps one wild report from shutting a pair out for good. */
  private static final double MOST = 40.0;

  /** Share of an error that one report corrects: about ten reports settle a pair. */
  private static final double RATE = 0.25;

  /** Keeps corrections small while hardly anything fills. */
  private static final double DAMPING = 0.01;

  private static final int AT_WORK = 100;

  private record Pair(String serving, String filling) {}

  private final Map<Pair, Double> weights = new HashMap<>();

  private double weight(Task serving, Task filling) {
    return weights.getOrDefault(pair(serving, filling), PRIOR);
  }

  private static Pair pair(Task serving, Task filling) {
    return new Pair(serving.spec.image(), filling.spec.image());
  }

  /** Takes in the loads that a worker last reported. */
  void learn(Worker worker) {
    worker
        .serving()
        .filter(task -> task.progress == AT_WORK && task.load > 0)
        .forEach(task -> learn(worker, task));
  }

  private void learn(Worker worker, Task serving) {
    double square =
        worker.filling().mapToDouble(f -> worker.share(f.load)).map(u -> u * u).sum() + DAMPING;
    double predicted =
        worker.filling().mapToDouble(f -> weight(serving, f) * worker.share(f.load)).sum();
    double error = pressure(serving) - predicted;
    worker
        .filling()
        .toList()
        .forEach(
            f -> {
              double step = RATE * error * worker.share(f.load) / square;
              double next = Math.min(MOST, Math.max(0, weight(serving, f) + step));
              weights.put(pair(serving, f), next);
            });
  }

  /** Returns the logarithm of a serving task's tail over its tail when alone. */
  private static double pressure(Task serving) {
    double quiet = QUIET_SHARE * serving.spec.targetMillis();
    return Math.log(Math.max(serving.load, quiet) / quiet);
  }

  /** Returns how much of a serving task's slowdown a task that fills causes at full pace. */
  double effect(Worker worker, Task serving, Task filling) {
    return weight(serving, filling) * worker.share((double) filling.spec.need().cpuMillis());
  }

  /**
   * Returns the predicted pressure on the worst-off serving task of a worker as a share of what its
   * bound allows, with one more task that fills; above 1 its tail is over the bound.
   */
  double strain(Worker worker, Task added) {
    double allowed = Math.log(1 / QUIET_SHARE);
    return worker.servingImages().stream()
        .mapToDouble(
            serving ->
                effect(worker, serving, added)
                    + worker
                        .filling()
                        .filter(f -> f != added)
                        .mapToDouble(f -> effect(worker, serving, f) * f.pace / Task.FULL_PACE)
                        .sum())
        .map(pressure -> pressure / allowed)
        .max()
        .orElse(0);
  }
}
