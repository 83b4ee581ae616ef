package org.cottontack.core.job;

import java.util.stream.Stream;

/**
 * What is known of how tasks that fill slow tasks that serve. Headroom is bound / tail; a service
 * is within its bound while it has 1 or more of it.
 */
interface Interference {

  /**
   * What is known about a pair of images.
   *
   * @param serving the image whose headroom shrinks
   * @param bestEffort the image beside it
   * @param weight headroom taken for each share of the processors
   * @param variance how uncertain the weight is
   */
  record Pair(String serving, String bestEffort, double weight, double variance) {}

  /** Takes in the loads that a worker last reported. */
  void learn(Worker worker, long nowMillis);

  /** Returns the share of known images that may fill beside a serving task at most times. */
  double tolerance(Task serving);

  /** Returns how much of a serving task's headroom a task that fills takes at full pace. */
  double effect(Worker worker, Task serving, Task bestEffort);

  /** Returns whether no report has told yet what an image does to a serving task. */
  boolean unknown(Task serving, Task bestEffort);

  /** Returns how much headroom neighbours of a serving task may take at a time; may be negative. */
  double availableHeadroom(Task serving, long millis);

  /** Returns what is known, what was heard of last coming last. */
  Stream<Pair> pairs();

  /** Takes over what an earlier leader has learned. */
  void restore(Pair pair);

  /**
   * Returns what all that fills beside a serving task takes of its headroom at the present paces.
   */
  default double headroomUse(Worker worker, Task serving) {
    return worker
        .bestEffort()
        .mapToDouble(other -> effect(worker, serving, other) * other.pace / Task.FULL_PACE)
        .sum();
  }
}
