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
  private static final double ROUNDING = 0.015;

  /** Headroom above which reports tell nothing more. */
  private static final double MOST_HEADROOM = 10;

  /** Headroom below which a queue grows without bound. */
  private static final double OVERLOADED = 0.3;

  /**
   * A tail of this many times its bound tells of a worker that stands still, not of neighbours.
   * Taken for these, three such workers made all tasks of their services look overloaded.
   */
  static final double STANDSTILL = 50;

  /** Headroom that stands for the worst lack. */
  private static final double LEAST_HEADROOM = -1;

  /** Share of the processors below which an image says nothing about its weight. */
  private static final double LEAST_SHARE = 0.005;

  /** How long what has ended still shows in reports, in milliseconds. */
  private static final long ECHO_MILLIS = 500;

  /** Headroom kept: reports are rough, and a bound that is just met is missed half of the time. */
  private static final double MARGIN = 0.16;

  private static final int AT_WORK = 100;

  /** Services remembered: over twice as many as are to run at a time; the quietest makes room. */
  private static final int MOST_SERVICES = 4_096;

  private final Map<String, InterferenceWeights> besides =
      new LruMap<>(InterferenceWeights.MOST_IMAGES);
  private final Map<JobId, BaselineHeadroom> services = new LruMap<>(MOST_SERVICES);

  private InterferenceWeights beside(Task serving) {
    return besides.computeIfAbsent(serving.spec.image(), image -> new InterferenceWeights());
  }

  private BaselineHeadroom own(Task serving) {
    return services.computeIfAbsent(serving.job.spec.id(), id -> new BaselineHeadroom());
  }

  @Override
  public void learn(Worker worker, long nowMillis) {
    Map<String, Double> shares = new HashMap<>();
    worker
        .bestEffort()
        .forEach(t -> shares.merge(t.spec.image(), worker.share(t.load), Double::sum));
    worker.residualLoads.removeIf(echo -> nowMillis - echo.endedMillis() >= ECHO_MILLIS);
    worker.residualLoads.forEach(
        echo -> {
          double left = 1 - (nowMillis - echo.endedMillis()) / (double) ECHO_MILLIS;
          shares.merge(echo.image(), left * worker.share(echo.load()), Double::sum);
        });
    shares.values().removeIf(share -> share < LEAST_SHARE);
    worker
        .serving()
        .filter(task -> task.progress == AT_WORK && task.load > 0)
        .filter(task -> task.load < STANDSTILL * task.spec.targetMillis())
        .filter(task -> task.hasNewLoad(nowMillis))
        .forEach(task -> learn(task, shares, nowMillis - REPORT_AGE_MILLIS));
  }

  private void learn(Task serving, Map<String, Double> shares, long millis) {
    double headroom = headroom(serving);
    BaselineHeadroom own = own(serving);
    own.advance(millis);
    InterferenceWeights.Mixture mixture = beside(serving).mixture(shares);
    double predicted = Math.max(LEAST_HEADROOM, own.level() - mixture.pressure());
    double rounding = ROUNDING * headroom * headroom;
    double variance =
        own.levelVariance() + mixture.variance() + mixture.phases() + NOISE + rounding * rounding;
    serving.excess = predicted - headroom;
    own.correct(headroom - predicted, variance);
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
    return beside(serving).tolerance();
  }

  @Override
  public double effect(Worker worker, Task serving, Task filling) {
    return beside(serving).weight(filling.spec.image()) * fullShare(worker, filling);
  }

  @Override
  public boolean unknown(Task serving, Task filling) {
    return beside(serving).unknown(filling.spec.image());
  }

  private static double fullShare(Worker worker, Task filling) {
    return worker.share((double) filling.spec.need().cpuMillis());
  }

  @Override
  public double roomFor(Task serving, long millis) {
    return own(serving).at(millis) - 1 - MARGIN;
  }

  @Override
  public Stream<Pair> pairs() {
    return besides.entrySet().stream().flatMap(entry -> entry.getValue().pairs(entry.getKey()));
  }

  @Override
  public void restore(Pair pair) {
    besides.computeIfAbsent(pair.serving(), image -> new InterferenceWeights()).restore(pair);
  }
}
