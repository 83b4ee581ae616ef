package org.cottontack.core.job;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Learns how much tasks that fill slow tasks that serve, and when. The load: most pairs of images
 * hardly matter, and some do much harm; several images work on a worker at once; the load of a
 * service swings, and its tail grows like that of a queue, without bound as the load comes near
 * what it can carry. What a neighbour takes from the headroom, bound / tail, is the same at any
 * load, as it lengthens each response by the same factor; its logarithm, or the tail itself, is
 * not: at the top of a swing a pair did 3 times as much to them as at rest. So headroom is split
 * into what the service's own load leaves ({@link BaselineHeadroom}) and what each neighbour takes
 * of it ({@link InterferenceWeights}), both learned from the same reports.
 */
final class LearnedInterference implements Interference {

  /** Age of what a report tells, in milliseconds: the middle of the half second it covers. */
  private static final long REPORT_AGE_MILLIS = 250;

  /** Variance of reported headroom, at a bound just met. */
  private static final double NOISE = 0.01;

  /** Growth of its standard deviation with headroom squared: tails come in whole milliseconds. */
  private static final double ROUNDING_ERROR = 0.015;

  /** Headroom above which reports tell nothing more. */
  private static final double MOST_HEADROOM = 10;

  /** Headroom below which a queue grows without bound. */
  private static final double OVERLOADED = 0.3;

  /**
   * A tail of this many times its bound tells of a worker that stands still, not of neighbours.
   * Taken for these, three such workers made all tasks of their services look overloaded.
   */
  static final double STALLED_WORKER_RATIO = 50;

  /** Headroom that stands for the worst lack. */
  private static final double LEAST_HEADROOM = -1;

  /** Share of the processors below which an image says nothing about its weight. */
  private static final double LEAST_SHARE = 0.005;

  /** How long what has ended still shows in reports, in milliseconds. */
  private static final long RESIDUAL_LOAD_MILLIS = 500;

  /** Headroom kept: reports are rough, and a bound that is just met is missed half of the time. */
  private static final double MARGIN = 0.16;

  private static final int SERVING_PROGRESS = 100;

  /** Services remembered: over twice as many as are to run at a time; the quietest makes room. */
  private static final int MOST_SERVICES = 4_096;

  private final Map<String, InterferenceWeights> weightsByImage =
      new LruMap<>(InterferenceWeights.MOST_IMAGES);
  private final Map<JobId, BaselineHeadroom> baselines = new LruMap<>(MOST_SERVICES);

  private InterferenceWeights weights(Task serving) {
    return weightsByImage.computeIfAbsent(serving.spec.image(), image -> new InterferenceWeights());
  }

  private BaselineHeadroom baseline(Task serving) {
    return baselines.computeIfAbsent(serving.job.spec.id(), id -> new BaselineHeadroom());
  }

  @Override
  public void learn(Worker worker, long nowMillis) {
    Map<String, Double> shares = new HashMap<>();
    worker
        .bestEffort()
        .forEach(task -> shares.merge(task.spec.image(), worker.share(task.load), Double::sum));
    worker.residualLoads.removeIf(
        residual -> nowMillis - residual.endedMillis() >= RESIDUAL_LOAD_MILLIS);
    worker.residualLoads.forEach(
        residual -> {
          double left = 1 - (nowMillis - residual.endedMillis()) / (double) RESIDUAL_LOAD_MILLIS;
          shares.merge(residual.image(), left * worker.share(residual.load()), Double::sum);
        });
    shares.values().removeIf(share -> share < LEAST_SHARE);
    worker
        .serving()
        .filter(task -> task.progress == SERVING_PROGRESS && task.load > 0)
        .filter(task -> task.load < STALLED_WORKER_RATIO * task.spec.targetMillis())
        .filter(task -> task.hasNewLoad(nowMillis))
        .forEach(task -> learn(task, shares, nowMillis - REPORT_AGE_MILLIS));
  }

  private void learn(Task serving, Map<String, Double> shares, long millis) {
    double headroom = headroom(serving);
    BaselineHeadroom baseline = baseline(serving);
    baseline.advance(millis);
    InterferenceWeights.Mixture mixture = weights(serving).mixture(shares);
    double predicted = Math.max(LEAST_HEADROOM, baseline.level() - mixture.headroomUse());
    double rounding = ROUNDING_ERROR * headroom * headroom;
    double variance =
        baseline.levelVariance()
            + mixture.variance()
            + mixture.phaseVariance()
            + NOISE
            + rounding * rounding;
    serving.excess = predicted - headroom;
    baseline.correct(headroom - predicted, variance);
    mixture.correct(predicted - headroom, variance);
  }

  /**
   * Returns how often the reported tail would fit into the bound. A tail that is many times its
   * bound grows for as long as more is taken than there was, so it stands for a lack.
   */
  private static double headroom(Task serving) {
    double headroom = Math.min(MOST_HEADROOM, serving.spec.targetMillis() / serving.load);
    return headroom >= OVERLOADED
        ? headroom
        : Math.max(LEAST_HEADROOM, OVERLOADED * (1 + Math.log(headroom / OVERLOADED)));
  }

  @Override
  public double tolerance(Task serving) {
    return weights(serving).tolerance();
  }

  @Override
  public double effect(Worker worker, Task serving, Task bestEffort) {
    return weights(serving).weight(bestEffort.spec.image()) * fullShare(worker, bestEffort);
  }

  @Override
  public boolean unknown(Task serving, Task bestEffort) {
    return weights(serving).unknown(bestEffort.spec.image());
  }

  private static double fullShare(Worker worker, Task bestEffort) {
    return worker.share((double) bestEffort.spec.need().cpuMillis());
  }

  @Override
  public double availableHeadroom(Task serving, long millis) {
    return baseline(serving).at(millis) - 1 - MARGIN;
  }

  @Override
  public Stream<Pair> pairs() {
    return weightsByImage.entrySet().stream()
        .flatMap(entry -> entry.getValue().pairs(entry.getKey()));
  }

  @Override
  public void restore(Pair pair) {
    weightsByImage
        .computeIfAbsent(pair.serving(), image -> new InterferenceWeights())
        .restore(pair);
  }
}
