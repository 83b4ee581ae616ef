package org.cottontack.core.admission;

import java.util.List;
import java.util.Optional;

/**
 * The jobs that a leader has rejected at present, because they could only be complete too late.
 *
 * @param limits at most one limit for each queue and size class
 */
public record AdmissionLimits(List<Limit> limits) {

  /** No job is rejected. */
  public static final AdmissionLimits NONE = new AdmissionLimits(List.of());

  /**
   * Rejects the jobs of a queue whose declared work is within a range.
   *
   * @param queue the queue's name
   * @param minWork least declared work, in thousandths of a core times milliseconds
   * @param maxWork declared work from which the limit no longer applies, in the same unit
   * @param waitMillis expected time until such a job would be complete, in milliseconds
   * @param retryAfterMillis when a rejected caller should return, in milliseconds
   */
  public record Limit(
      String queue, double minWork, double maxWork, long waitMillis, long retryAfterMillis) {

    boolean covers(String name, double declaredWork) {
      return queue.equals(name) && declaredWork >= minWork && declaredWork < maxWork;
    }
  }

  /** Makes the list immutable. */
  public AdmissionLimits {
    limits = List.copyOf(limits);
  }

  /** Returns the limit that rejects a job, or empty if none does. */
  public Optional<Limit> limitFor(String queue, double declaredWork) {
    return limits.stream().filter(limit -> limit.covers(queue, declaredWork)).findFirst();
  }
}
