package org.cottontack.core.health;

import java.util.Locale;

/**
 * What is expected of a worker.
 *
 * @param speed expected speed of its runs, relative to the pool; 1 is normal
 * @param success probability that a run there ends successfully
 * @param barred whether its last runs of different jobs failed and no trial run is due yet
 * @param cold whether it started recently and its caches are not filled yet
 */
public record WorkerRating(double speed, double success, boolean barred, boolean cold) {

  /** The rating of a worker without evidence. */
  public static final WorkerRating HEALTHY = new WorkerRating(1, 1, false, false);

  /** A worker with a speed or a probability of success below this is suspect. */
  static final double SUSPECT_BELOW = 0.5;

  /**
   * Expected speed of a cold worker, relative to the same worker when it is warm. Its true speed is
   * unknown; this value prefers any warm worker that is not suspect.
   */
  private static final double COLD_SPEED = 0.5;

  /**
   * Ratings above this count as normal. Durations of equal tasks differ by a third, so smaller
   * differences between workers are mostly noise.
   */
  private static final double NORMAL_FROM = 0.7;

  /** Returns whether the worker gets one trial run at a time. */
  public boolean suspect() {
    return slow() || success < SUSPECT_BELOW;
  }

  /** Returns whether the worker is suspect because of its speed. */
  public boolean slow() {
    return speed < SUSPECT_BELOW;
  }

  /**
   * Returns the expected time until a run is successful here, as a multiple of the normal time; 1
   * where the difference is within noise.
   */
  public double slowdown() {
    double rate = Math.max(0.01, speed * success * (cold ? COLD_SPEED : 1));
    return rate >= NORMAL_FROM ? 1 : 1 / rate;
  }

  /** Returns the reason for which the worker is suspect, for a log line. */
  String reason() {
    String cause = slow() ? "slow" : suspect() ? "failures" : "recovered";
    return String.format(Locale.ROOT, "%s speed=%.2f success=%.2f", cause, speed, success);
  }
}
