package org.cottontack.core.admission;

import java.util.stream.Stream;

/** Class of a job by its declared work, relative to the mean declared work of its queue's jobs. */
public enum SizeClass {
  /** Less than half of the mean. */
  UP_TO_HALF(0, 0.5, 0),
  /** From half of the mean up to the mean. */
  UP_TO_MEAN(0.5, 1, 500),
  /** From the mean up to twice the mean. */
  UP_TO_TWICE(1, 2, 1_000),
  /** Twice the mean and above. */
  ABOVE(2, Double.POSITIVE_INFINITY, 1_500);

  private final double min;
  private final double max;
  private final long laterMillis;

  SizeClass(double min, double max, long laterMillis) {
    this.min = min;
    this.max = max;
    this.laterMillis = laterMillis;
  }

  /**
   * Returns how much later rejected callers of this class return than those of the smallest class,
   * in milliseconds. The callers that can be served first return first.
   */
  long laterMillis() {
    return laterMillis;
  }

  /** Returns the class of a job. Without a mean it counts as a mean job. */
  static SizeClass of(double declaredWork, double meanWork) {
    double relative = meanWork > 0 ? declaredWork / meanWork : 1;
    return Stream.of(values()).filter(size -> relative < size.max).findFirst().orElse(ABOVE);
  }

  double minWork(double meanWork) {
    return min * meanWork;
  }

  double maxWork(double meanWork) {
    return max * meanWork;
  }
}
