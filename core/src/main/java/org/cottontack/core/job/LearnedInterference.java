package org.cottontack.core.job;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Learns how much best-effort tasks slow serving tasks, and at which load. Most pairs of images
 * hardly matter, and some do much harm. Several images run on a worker at once. The load of a
 * service swings, and its tail latency grows like that of a queue, without bound as the load
 * approaches the capacity. What a neighbour takes from the headroom, bound / tail, is the same at
 * any load, because it lengthens each response by the same factor. This does not hold for the tail
 * or its logarithm: at the top of a swing a pair did 3 times as much to these as at rest. So
 * headroom is split into the headroom that the service's own load leaves ({@link BaselineHeadroom})
 * and the headroom that each neighbour takes of it ({@link InterferenceWeights}), both learned from
 * the same reports.
 */
final class LearnedInterference implements Interference {

  /**
   * Age of the reported loads, in milliseconds: the middle of the half second that a report covers.
   */
  private static final long REPORT_AGE_MILLIS = 250;

  /** Variance of reported headroom when the bound is just met. */
  private static final double NOISE = 0.01;

  /**
   * Growth of the standard deviation of reported headroom with the square of headroom: tails are
   * reported in whole milliseconds.
   */
  private static final double ROUNDING_ERROR = 0.015;

  /** Headroom above which reports give no further information. */
  private static final double MAX_HEADROOM = 10;

  /** Headroom below which the queue of a service grows without bound. */
  private static final double OVERLOADED = 0.3;

  /**
   * A tail of this many times its bound shows that the worker has stalled, not that neighbours do
   * harm. When such reports were learned from, three stalled workers made all tasks of their
   * services look overloaded.
   */
  static final double STALLED_WORKER_RATIO = 50;

  /** Lowest headroom, used for the worst overload. */
  private static final double MIN_HEADROOM = -1;

  /** Share of the processors below which an image gives no information about its weight. */
  private static final double MIN_SHARE = 0.005;

  /** How long a run that ended still shows in the reported loads, in milliseconds. */
  private static final long RESIDUAL_LOAD_MILLIS = 500;

  /**
   * Headroom held back: reports are noisy, and a bound that is aimed at exactly is missed half of
   * the time.
   */
  private static final double MARGIN = 0.16;

  private static final int SERVING_PROGRESS = 100;

  /**
   * Number of services kept, over twice as many as are expected to run at a time. The least
   * recently used one is evicted.
   */
  private static final int MAX_SERVICES = 4_096;

  private final Map<String, InterferenceWeights> weightsByImage =
      new LruMap<>(InterferenceWeights.MAX_IMAGES);
  private final Map<JobId, BaselineHeadroom> baselines = new LruMap<>(MAX_SERVICES);

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
    shares.values().removeIf(share -> share < MIN_SHARE);
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
    double predicted = Math.max(MIN_HEADROOM, baseline.level() - mixture.headroomTaken());
    double rounding = ROUNDING_ERROR * headroom * headroom;
    double variance =
        baseline.levelVariance()
            + mixture.variance()
            + mixture.phaseVariance()
            + NOISE
            + rounding * rounding;
    serving.headroomShortfall = predicted - headroom;
    baseline.correct(headroom - predicted, variance);
    mixture.correct(predicted - headroom, variance);
  }

  /**
   * Returns the reported headroom. A tail that is many times its bound keeps growing while
   * neighbours take more headroom than the service has, so it is mapped to a shortage, down to
   * {@link #MIN_HEADROOM}.
   */
  private static double headroom(Task serving) {
    double headroom = Math.min(MAX_HEADROOM, serving.spec.targetMillis() / serving.load);
    return headroom >= OVERLOADED
        ? headroom
        : Math.max(MIN_HEADROOM, OVERLOADED * (1 + Math.log(headroom / OVERLOADED)));
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
