package org.cottontack.ctl.explain;

/**
 * A part of a job's time on its critical path.
 *
 * @param cause what it went to
 * @param fromMillis its begin
 * @param toMillis its end
 * @param what which run or step
 */
record Span(Cause cause, long fromMillis, long toMillis, String what) {

  long millis() {
    return toMillis - fromMillis;
  }
}
