package org.cottontack.core.job;

import java.util.stream.Stream;

/**
 * Estimates how much best-effort tasks slow serving tasks. Headroom is the bound of the tail
 * latency divided by the tail latency; a service is within its bound while its headroom is 1 or
 * more.
 */
interface Interference {

  /**
   * The estimate for a pair of images.
   *
   * @param serving the image whose headroom shrinks
   * @param bestEffort the image that runs beside it
   * @param weight headroom taken per share of the worker's processors
   * @param variance uncertainty of the weight
   */
  record Pair(String serving, String bestEffort, double weight, double variance) {}

  /** Updates the estimates with the loads that a worker last reported. */
  void learn(Worker worker, long nowMillis);

  /** Returns the share of the known images that may run beside a serving task at most times. */
  double tolerance(Task serving);

  /** Returns how much of a serving task's headroom a best-effort task takes at full pace. */
  double effect(Worker worker, Task serving, Task bestEffort);

  /** Returns whether no report has shown yet what an image does to a serving task. */
  boolean unknown(Task serving, Task bestEffort);

  /**
   * Returns how much headroom the neighbours of a serving task may take at a time; may be negative.
   */
  double availableHeadroom(Task serving, long millis);

  /** Returns the estimates of all pairs, the most recently reported last. */
  Stream<Pair> pairs();

  /** Restores what an earlier leader has learned. */
  void restore(Pair pair);

  /**
   * Returns the headroom that all best-effort tasks beside a serving task take at their present
   * paces.
   */
  default double headroomTaken(Worker worker, Task serving) {
    return worker
        .bestEffort()
        .mapToDouble(other -> effect(worker, serving, other) * other.pace / Task.FULL_PACE)
        .sum();
  }
}
