package org.cottontack.core.health;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.stream.Stream;

/**
 * Evidence about one incarnation of a worker. Speed is the weighted median over runs, one entry for
 * each run: a task in thirty takes seven times as long as the others for reasons of its own, and a
 * mean would make its worker suspect. The median includes one normal run, so that a single run
 * never decides.
 */
public final class WorkerScore {

  /** Time in which evidence loses half of its weight, in milliseconds. */
  static final double HALF_LIFE_MILLIS = 5_000;

  /**
   * Weight of a run that is compared with its declared duration. Declarations are wrong for all
   * tasks of a step alike, so several runs of one step are less than independent evidence.
   */
  private static final double ESTIMATED_WEIGHT = 0.5;

  /** Runs and failed jobs kept; a worker of 96 cores runs fewer than this within the half-life. */
  private static final int MAX_RUNS = 64;

  /** Successful runs assumed before there is evidence. */
  private static final double ASSUMED_SUCCESSES = 2;

  /** Number of different jobs whose failures in a row bar the worker. */
  private static final int BARRING_JOBS = 3;

  /**
   * Weight of an unanswered call, in failed runs: one lost connection does not make a worker
   * suspect, and two within the half-life do.
   */
  private static final double UNANSWERED_WEIGHT = 1.5;

  /** Lowest speed that evidence can show. */
  private static final double MIN_SPEED = 0.02;

  private record Evidence(double logSpeed, boolean compared, long millis) {

    double weight(long nowMillis) {
      return (compared ? 1 : ESTIMATED_WEIGHT) * retained(nowMillis - millis);
    }
  }

  private record Weighted(double value, double weight) {}

  private final long startTimeMillis;
  private final String pool;
  private final Map<Object, Evidence> runs = new LinkedHashMap<>();

  /** Jobs whose runs failed since the last success, and when each was last counted. */
  private final Map<Object, Long> failedJobs = new LinkedHashMap<>();

  private double successes;
  private double failures;
  private long countedMillis;
  private long coldUntilMillis;

  WorkerScore(long startTimeMillis, String pool) {
    this.startTimeMillis = startTimeMillis;
    this.pool = pool;
  }

  long startTimeMillis() {
    return startTimeMillis;
  }

  String pool() {
    return pool;
  }

  private static double retained(long millis) {
    return Math.pow(0.5, Math.max(0, millis) / HALF_LIFE_MILLIS);
  }

  /**
   * Records the speed of a run; a later one replaces an earlier one of the same run. Runs on a cold
   * worker say nothing about it.
   *
   * @param run identifies the run
   * @param speed relative to that of other runs; 1 is normal
   * @param compared whether it is relative to runs of equal tasks on other workers, rather than to
   *     the expected duration
   * @param nowMillis the present time
   */
  public void ran(Object run, double speed, boolean compared, long nowMillis) {
    if (cold(nowMillis)) {
      return;
    }
    runs.remove(run);
    runs.put(run, new Evidence(Math.log(Math.max(MIN_SPEED, speed)), compared, nowMillis));
    if (runs.size() > MAX_RUNS) {
      runs.remove(runs.keySet().iterator().next());
    }
  }

  /** Records that a run was done. A success after failures in a row halves their weight. */
  public void succeeded(long nowMillis) {
    count(nowMillis);
    successes++;
    failures = failedJobs.isEmpty() ? failures : failures / 2;
    failedJobs.clear();
  }

  /** Records that a run failed. Failures of one job within a half-life count once. */
  public void failed(Object job, long nowMillis) {
    count(nowMillis);
    Long countedBefore = failedJobs.get(job);
    if (countedBefore != null && nowMillis - countedBefore <= HALF_LIFE_MILLIS) {
      return;
    }
    failedJobs.remove(job);
    failedJobs.put(job, nowMillis);
    if (failedJobs.size() > MAX_RUNS) {
      failedJobs.remove(failedJobs.keySet().iterator().next());
    }
    failures++;
    if (failedJobs.size() >= BARRING_JOBS) {
      successes = 0;
    }
  }

  /** Records that the worker stopped answering calls. */
  public void unanswered(long nowMillis) {
    count(nowMillis);
    failures += UNANSWERED_WEIGHT;
  }

  /** Records for how long the worker will still be cold. */
  public void cold(long leftMillis, long nowMillis) {
    coldUntilMillis = nowMillis + leftMillis;
  }

  private boolean cold(long nowMillis) {
    return nowMillis < coldUntilMillis;
  }

  private void count(long nowMillis) {
    double retained = retained(nowMillis - countedMillis);
    successes *= retained;
    failures *= retained;
    countedMillis = nowMillis;
  }

  /** Restores what another leader knew. */
  void restore(double speed, double success, long nowMillis) {
    if (speed < WorkerRating.SUSPECT_BELOW) {
      // Two runs outweigh the normal run of the median.
      ran("restored", speed, true, nowMillis);
      ran("restored too", speed, true, nowMillis);
    }
    count(nowMillis);
    failures = Math.max(failures, ASSUMED_SUCCESSES / success - ASSUMED_SUCCESSES);
  }

  /** Returns the logarithms of speeds relative to expected durations, for the pool's median. */
  Stream<Double> estimated(long nowMillis) {
    List<Weighted> entries =
        runs.values().stream()
            .filter(run -> !run.compared())
            .map(run -> new Weighted(run.logSpeed(), run.weight(nowMillis)))
            .toList();
    return entries.isEmpty() ? Stream.of() : Stream.of(median(entries));
  }

  /**
   * Returns the rating.
   *
   * @param typical logarithm of the pool's median of speeds relative to expected durations, which
   *     is not 0 where the expected durations are wrong for all workers; empty where too few
   *     workers have such speeds, which then do not count
   * @param usualSuccess the pool's median of probabilities of success, which is low where the
   *     leader itself loses its connections
   * @param nowMillis the present time
   */
  WorkerRating rating(OptionalDouble typical, double usualSuccess, long nowMillis) {
    runs.values().removeIf(run -> nowMillis - run.millis() > 4 * HALF_LIFE_MILLIS);
    double success = Math.min(1, success(nowMillis) / usualSuccess);
    boolean barred = failedJobs.size() >= BARRING_JOBS && success < WorkerRating.SUSPECT_BELOW;
    return new WorkerRating(speed(typical, nowMillis), success, barred, cold(nowMillis));
  }

  /** Returns the probability that a run ends successfully, regardless of the pool. */
  double success(long nowMillis) {
    count(nowMillis);
    return (ASSUMED_SUCCESSES + successes) / (ASSUMED_SUCCESSES + successes + failures);
  }

  private double speed(OptionalDouble typical, long nowMillis) {
    List<Evidence> counted =
        runs.values().stream().filter(run -> run.compared() || typical.isPresent()).toList();
    if (counted.isEmpty()) {
      return 1;
    }
    // All weights shrink alike without evidence, so the decay is applied to the median instead.
    long latest = counted.stream().mapToLong(Evidence::millis).max().orElse(nowMillis);
    List<Weighted> entries =
        Stream.concat(
                Stream.of(new Weighted(0, 1)),
                counted.stream()
                    .map(
                        run ->
                            new Weighted(
                                run.compared()
                                    ? run.logSpeed()
                                    : run.logSpeed() - typical.orElse(0),
                                run.weight(latest))))
            .toList();
    return Math.exp(Math.min(0, median(entries)) * retained(nowMillis - latest));
  }

  /** Returns the weighted median; of two in the middle, the higher one. */
  private static double median(List<Weighted> entries) {
    List<Weighted> sorted =
        entries.stream().sorted(Comparator.comparingDouble(Weighted::value).reversed()).toList();
    double half = entries.stream().mapToDouble(Weighted::weight).sum() / 2;
    double sum = 0;
    for (Weighted entry : sorted) {
      sum += entry.weight();
      if (sum >= half) {
        return entry.value();
      }
    }
    return 0;
  }
}
