package org.cottontack.ctl.explain;

/**
 * An interval on the critical path of a job.
 *
 * @param cause what the time was spent on
 * @param fromMillis the start of the interval
 * @param toMillis the end of the interval
 * @param subject the run or task that the interval belongs to
 */
record Span(Cause cause, long fromMillis, long toMillis, String subject) {

  long millis() {
    return toMillis - fromMillis;
  }
}
