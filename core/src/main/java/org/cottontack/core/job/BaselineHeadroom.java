package org.cottontack.core.job;

/**
 * Estimates the headroom, bound / tail, that a service would have under its own load alone. The
 * load of a service swings within some seconds, for all its tasks alike, so a neighbour that does
 * no harm now may break the bound five seconds later. A Kalman filter (Kalman 1960) estimates level
 * and slope from the reports of all tasks of the service.
 */
final class BaselineHeadroom {

  /**
   * Headroom assumed before the first report: the median of reports, a tail at 0.4 of the bound.
   */
  private static final double FIRST_LEVEL = 2.5;

  /**
   * Variance of {@link #FIRST_LEVEL}: services have a headroom of 3.9 at rest and 1.6 at the top of
   * their swing.
   */
  private static final double FIRST_VARIANCE = 0.6;

  /** Initial variance of the slope, per second squared: swings change headroom by 0.5 a second. */
  private static final double FIRST_SLOPE_VARIANCE = 0.15;

  /** Growth of the variance of the slope in each second: a swing turns round within 3 s. */
  private static final double SLOPE_NOISE = 0.08;

  /** Growth of the variance of the level in each second. */
  private static final double LEVEL_NOISE = 0.01;

  /**
   * Time in which an unusual level decays by half towards {@link #FIRST_LEVEL}, in seconds. A
   * service that never ran alone is more likely to be harmed by the best-effort tasks that are
   * always beside it than to be over its bound by its own load.
   */
  private static final double HALF_LIFE_SECONDS = 15;

  /**
   * Largest difference that is attributed to the service's own load: what one of its tasks has
   * beyond that comes from its worker.
   */
  private static final double MAX_CORRECTION = 0.6;

  /**
   * Lowest level: a service that runs alone is about within its bound, so what it lacks beyond that
   * is harm by neighbours.
   */
  private static final double MIN_LEVEL = 0.9;

  /** Steepest slope of a swing, per second. */
  private static final double MAX_SLOPE = 0.8;

  /** Longest time that a slope is extrapolated for, in seconds: a swing has turned by then. */
  private static final double MAX_EXTRAPOLATION_SECONDS = 1.5;

  private static final double MILLIS = 1_000.0;

  private double level = FIRST_LEVEL;
  private double slope;
  private double levelVariance = FIRST_VARIANCE;
  private double covariance;
  private double slopeVariance = FIRST_SLOPE_VARIANCE;
  private long atMillis;
  private boolean started;

  /** Advances the estimate to the time of a report. */
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

  /**
   * Resets slope and variances: after a long time without reports the state of the swing is
   * unknown.
   */
  private void forget() {
    levelVariance = FIRST_VARIANCE;
    covariance = 0;
    slopeVariance = FIRST_SLOPE_VARIANCE;
    slope = 0;
  }

  /**
   * Updates the estimate by the difference between a report and its prediction.
   *
   * @param difference reported less predicted headroom
   * @param variance variance of that difference, including that of this level
   */
  void correct(double difference, double variance) {
    double levelGain = levelVariance / variance;
    double slopeGain = covariance / variance;
    double correction = Math.max(-MAX_CORRECTION, Math.min(MAX_CORRECTION, difference));
    level = Math.max(MIN_LEVEL, level + levelGain * correction);
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

  /** Returns the expected headroom at a time. */
  double at(long millis) {
    double seconds = started ? (millis - atMillis) / MILLIS : 0;
    return level + slope * Math.max(0, Math.min(seconds, MAX_EXTRAPOLATION_SECONDS));
  }
}
