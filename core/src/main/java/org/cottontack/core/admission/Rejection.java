package org.cottontack.core.admission;

import java.util.Locale;

/**
 * A size class of a queue that is rejected, and why.
 *
 * @param pool the pool that runs the queue's jobs
 * @param size the size class
 * @param limit the limit that rejects it
 * @param backlog expected work that would be done before a new job of the class, in thousandths of
 *     a core times milliseconds
 * @param throughput work that the pool finishes for the queue per second, in the same unit
 */
public record Rejection(
    String pool, SizeClass size, AdmissionLimits.Limit limit, double backlog, double throughput) {

  /** Returns whether another rejection is of the same queue and size class. */
  public boolean sameSubject(Rejection other) {
    return limit.queue().equals(other.limit.queue()) && size == other.size;
  }

  /** Returns the details for a log line, with work in core-seconds. */
  public String describe() {
    return String.format(
        Locale.ROOT,
        "class=%s pool=%s waitMillis=%d retryMillis=%d backlog=%.1f throughput=%.1f",
        size,
        pool,
        limit.waitMillis(),
        limit.retryAfterMillis(),
        backlog / CORE_SECOND,
        throughput / CORE_SECOND);
  }

  private static final double CORE_SECOND = 1_000_000;
}
