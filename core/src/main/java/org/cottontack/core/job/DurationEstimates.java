package org.cottontack.core.job;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Corrects declared durations by measured ones. Callers of some queues declare nearly the true
 * durations, those of others are off by a factor of three either way, and ordering jobs by such
 * declarations is useless. For each queue the logarithm of the measured duration of a run is fitted
 * to the logarithm of the declared one by least squares with exponential forgetting, so that
 * declared durations count as much as their past accuracy justifies.
 */
final class DurationEstimates {

  /**
   * Factor by which the weight of all earlier runs is multiplied at each new one: some 500 runs
   * count, about 5 s of load.
   */
  private static final double RETENTION = 0.998;

  /** Number of accurately declared runs that a queue is assumed to have had at first. */
  private static final double TRUSTED_RUNS = 5;

  /**
   * Variance of the logarithm of declared durations assumed at first: a factor of 1.6 either way.
   */
  private static final double TRUSTED_VARIANCE = 0.25;

  /** Weight that earlier jobs keep in the mean work of a queue's jobs: some 50 jobs count. */
  private static final double WORK_RETENTION = 0.98;

  /**
   * The fit of a queue: sums over its runs, weighted by age, of logarithms of milliseconds.
   *
   * @param name the queue
   * @param runs weight of all runs
   * @param declared sum of declared durations
   * @param measured sum of measured durations
   * @param declaredSquare sum of squares of declared durations
   * @param product sum of products of both
   * @param meanWork mean work of its jobs, in thousandths of a core times milliseconds
   */
  record Queue(
      String name,
      double runs,
      double declared,
      double measured,
      double declaredSquare,
      double product,
      double meanWork) {}

  private static final class Fit {
    double runs;
    double declared;
    double measured;
    double declaredSquare;
    double product;

    void add(double x, double y) {
      runs = RETENTION * runs + 1;
      declared = RETENTION * declared + x;
      measured = RETENTION * measured + y;
      declaredSquare = RETENTION * declaredSquare + x * x;
      product = RETENTION * product + x * y;
    }

    double predict(double x) {
      if (runs == 0) {
        return x;
      }
      double meanX = declared / runs;
      double meanY = measured / runs;
      double trust = TRUSTED_RUNS * TRUSTED_VARIANCE;
      double covariance = product - runs * meanX * meanY + trust;
      double variance = declaredSquare - runs * meanX * meanX + trust;
      double offset = (runs * (meanY - meanX)) / (runs + TRUSTED_RUNS);
      return meanX + offset + covariance / variance * (x - meanX);
    }
  }

  private final Map<String, Fit> fits = new HashMap<>();
  private final Map<String, Double> meanWork = new HashMap<>();

  /** Returns the fit of each queue. */
  Stream<Queue> queues() {
    return fits.entrySet().stream()
        .map(
            entry -> {
              Fit fit = entry.getValue();
              return new Queue(
                  entry.getKey(),
                  fit.runs,
                  fit.declared,
                  fit.measured,
                  fit.declaredSquare,
                  fit.product,
                  meanWork.getOrDefault(entry.getKey(), 0.0));
            });
  }

  /** Restores what an earlier leader has learned. */
  void restore(Queue queue) {
    Fit fit = fits.computeIfAbsent(queue.name(), name -> new Fit());
    fit.runs = queue.runs();
    fit.declared = queue.declared();
    fit.measured = queue.measured();
    fit.declaredSquare = queue.declaredSquare();
    fit.product = queue.product();
    meanWork.put(queue.name(), queue.meanWork());
  }

  /** Records the duration of a run that was neither slowed nor resumed. */
  void learn(JobQueue queue, StepSpec step, long millis) {
    if (step.estimateMillis() > 0 && millis > 0) {
      fits.computeIfAbsent(queue.name(), name -> new Fit())
          .add(Math.log((double) step.estimateMillis()), Math.log((double) millis));
    }
  }

  /** Returns the expected duration of a task of a step, in milliseconds. */
  long millis(JobQueue queue, StepSpec step) {
    Fit fit = fits.get(queue.name());
    return fit == null || step.estimateMillis() <= 0
        ? step.estimateMillis()
        : Math.round(Math.exp(fit.predict(Math.log((double) step.estimateMillis()))));
  }

  /** Records the work of a job that arrived, in thousandths of a core times milliseconds. */
  void recordArrival(JobQueue queue, double work) {
    meanWork.merge(
        queue.name(), work, (mean, next) -> WORK_RETENTION * mean + (1 - WORK_RETENTION) * next);
  }

  /** Returns a job's work as a multiple of the mean of its queue's jobs. */
  double relativeWork(JobQueue queue, double work) {
    double mean = meanWork.getOrDefault(queue.name(), work);
    return mean > 0 ? work / mean : 1;
  }
}
