package org.cottontack.core.job;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * The outcome of a replay, as shares of what was possible.
 *
 * @param serving share of the time that services asked for, with harm by best-effort tasks counted
 *     four times
 * @param bestEffort share of the value of best-effort jobs
 * @param largestBestEffort share of the value of the largest tenth of these
 * @param shorts share of the value of jobs of short tasks
 * @param largestShorts share of the value of the largest tenth of these
 * @param unserved share of the jobs that are to end and never did
 * @param over mean number of serving tasks over their bound
 * @param moves number of runs that were stopped
 * @param paces number of pace orders
 * @param wasted work of runs that was thrown away, as a share of the work of all jobs
 */
record ReplayOutcome(
    double serving,
    double bestEffort,
    double largestBestEffort,
    double shorts,
    double largestShorts,
    double unserved,
    double over,
    double moves,
    double paces,
    double wasted) {

  /**
   * A figure of an outcome.
   *
   * @param title heading in tables
   * @param of how it is taken from an outcome
   */
  record Figure(String title, ToDoubleFunction<ReplayOutcome> of) {

    double mean(List<ReplayOutcome> all) {
      return all.stream().mapToDouble(of).average().orElse(0);
    }

    /** Returns half of the 95 % interval of the mean, by Student's t. */
    double halfInterval(List<ReplayOutcome> all) {
      if (all.size() < 2) {
        return Double.NaN;
      }
      double mean = mean(all);
      double squares = all.stream().mapToDouble(of).map(x -> (x - mean) * (x - mean)).sum();
      int degrees = all.size() - 1;
      double t = T95[Math.min(degrees, T95.length) - 1];
      return t * Math.sqrt(squares / degrees / all.size());
    }
  }

  /** Weights of services, best-effort jobs and short jobs in {@link #worth()}. */
  private static final double[] WEIGHTS = {0.35, 0.55, 0.10};

  /** The figures that a table shows. */
  static final List<Figure> FIGURES =
      List.of(
          new Figure("worth", ReplayOutcome::worth),
          new Figure("serving", ReplayOutcome::serving),
          new Figure("fills", ReplayOutcome::bestEffort),
          new Figure("largest", ReplayOutcome::largestBestEffort),
          new Figure("shorts", ReplayOutcome::shorts),
          new Figure("largest", ReplayOutcome::largestShorts),
          new Figure("unserved", ReplayOutcome::unserved),
          new Figure("over", ReplayOutcome::over),
          new Figure("moves", ReplayOutcome::moves),
          new Figure("wasted", ReplayOutcome::wasted));

  /** Two-sided 95 % points of Student's t for 1, 2, … degrees of freedom. */
  private static final double[] T95 = {
    12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13, 2.12,
    2.11, 2.10, 2.09
  };

  /** Returns the means of all figures. */
  static ReplayOutcome mean(List<ReplayOutcome> all) {
    return new ReplayOutcome(
        average(all, ReplayOutcome::serving),
        average(all, ReplayOutcome::bestEffort),
        average(all, ReplayOutcome::largestBestEffort),
        average(all, ReplayOutcome::shorts),
        average(all, ReplayOutcome::largestShorts),
        average(all, ReplayOutcome::unserved),
        average(all, ReplayOutcome::over),
        average(all, ReplayOutcome::moves),
        average(all, ReplayOutcome::paces),
        average(all, ReplayOutcome::wasted));
  }

  private static double average(List<ReplayOutcome> all, ToDoubleFunction<ReplayOutcome> of) {
    return all.stream().mapToDouble(of).average().orElse(0);
  }

  /** Returns the weighted sum of the shares of services, best-effort jobs and short jobs. */
  double worth() {
    return WEIGHTS[0] * serving + WEIGHTS[1] * bestEffort + WEIGHTS[2] * shorts;
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "serving %.3f fills %.3f %.3f shorts %.3f %.3f unserved %.4f over %.1f moves %.0f"
            + " paces %.0f wasted %.3f",
        serving,
        bestEffort,
        largestBestEffort,
        shorts,
        largestShorts,
        unserved,
        over,
        moves,
        paces,
        wasted);
  }
}
