package org.cottontack.core.job;

/**
 * How far the tail of a service would be under its bound by its own load alone, as bound / tail.
 * The load: a service's users come in swings of some seconds, for all its tasks alike, so the same
 * neighbour does no harm now and breaks the bound five seconds later. A Kalman filter (Kalman 1960)
 * keeps level and slope, fed by the reports of all tasks of the service.
 */
final class BaselineHeadroom {

  /**
   * Headroom assumed before the first report: the median of reports, a tail at 0.4 of the bound.
   */
  private static final double FIRST_LEVEL = 2.5;

  /** Variance of that: services at rest have 3.9, at the top of their swing 1.6. */
  private static final double FIRST_VARIANCE = 0.6;

  /** Variance of the slope at first, per second squared: swings change headroom by 0.5 a second. */
  private static final double FIRST_SLOPE_VARIANCE = 0.15;

  /** Growth of the slope's variance in each second: a swing turns round within 3 s. */
  private static final double SLOPE_NOISE = 0.08;

  /** Growth of the level's variance in each second. */
  private static final double LEVEL_NOISE = 0.01;

  /**
   * Time in which half of an unusual level is forgotten, in seconds: a service that never ran alone
   * is rather harmed by what always fills beside it than over its bound by its own load.
   */
  private static final double HALF_LIFE_SECONDS = 15;

  /**
   * Difference above which a report is no news of a service's own load: what one of its tasks has
   * beyond that comes from its worker.
   */
  private static final double MAX_CORRECTION = 0.6;

  /** A service that is alone is about within its bound: what it lacks beyond that is harm. */
  private static final double LEAST_LEVEL = 0.9;

  /** Steepest slope of a swing, per second. */
  private static final double MAX_SLOPE = 0.8;

  /** Longest span that a slope is followed for, in seconds: a swing has turned by then. */
  private static final double MAX_EXTRAPOLATION_SECONDS = 1.5;

  private static final double MILLIS = 1_000.0;

  private double level = FIRST_LEVEL;
  private double slope;
  private double levelVariance = FIRST_VARIANCE;
  private double covariance;
  private double slopeVariance = FIRST_SLOPE_VARIANCE;
  private long atMillis;
  private boolean started;

  /** Lets time pass up to a report. */
  void advance(long millis) {
    if (!started) {
      started = true;
      atMillis = millis;
      return;
    }
    double seconds = Math.max(0, millis - atMillis) / MILLIS;
    atMillis = Math.max(atMillis, millis);
    level += slope * Math.min(seconds, MAX_EXTRAPOLATION_SECONDS);
    level += (FIRST_LEVEL - level) * (1 - Math.pow(0.5, seconds / HALF_LIFE_SECONDS));
    levelVariance +=
        2 * seconds * covariance + seconds * seconds * slopeVariance + LEVEL_NOISE * seconds;
    covariance += seconds * slopeVariance;
    slopeVariance += SLOPE_NOISE * seconds;
    if (levelVariance > FIRST_VARIANCE) {
      forget();
    }
  }

  /** After a long silence nothing is known of the swing any more. */
  private void forget() {
    levelVariance = FIRST_VARIANCE;
    covariance = 0;
    slopeVariance = FIRST_SLOPE_VARIANCE;
    slope = 0;
  }

  /**
   * Takes in by how much a report differs from what was predicted.
   *
   * @param difference reported less predicted headroom
   * @param variance of that difference, this level's own included
   */
  void correct(double difference, double variance) {
    double levelGain = levelVariance / variance;
    double slopeGain = covariance / variance;
    double correction = Math.max(-MAX_CORRECTION, Math.min(MAX_CORRECTION, difference));
    level = Math.max(LEAST_LEVEL, level + levelGain * correction);
    slope = Math.max(-MAX_SLOPE, Math.min(MAX_SLOPE, slope + slopeGain * correction));
    slopeVariance -= slopeGain * covariance;
    covariance -= levelGain * covariance;
    levelVariance -= levelGain * levelVariance;
  }

  /** Returns the headroom at the last report. */
  double level() {
    return level;
  }

  double levelVariance() {
    return levelVariance;
  }

  /** Returns the probable headroom at a time. */
  double at(long millis) {
    double seconds = started ? (millis - atMillis) / MILLIS : 0;
    return level + slope * Math.max(0, Math.min(seconds, MAX_EXTRAPOLATION_SECONDS));
  }
}
