package org.cottontack.core.job;

import org.cottontack.core.id.WorkerId;

/**
 * One incarnation of a worker. A worker that crashed may start again under its identifier. It then
 * runs nothing, and its clock and the numbers of its completions start again from the beginning.
 *
 * @param worker the identifier, which several incarnations may share
 * @param startTimeMillis when this incarnation started, in milliseconds since 1970; {@link
 *     #UNKNOWN_START_TIME} where the platform does not report it
 */
public record WorkerIncarnation(WorkerId worker, long startTimeMillis) {

  /** Start time of an incarnation that did not report one. */
  public static final long UNKNOWN_START_TIME = 0;

  /** Returns the only incarnation of a worker that never restarts under its identifier. */
  public static WorkerIncarnation withUniqueIdentifier(WorkerId worker) {
    return new WorkerIncarnation(worker, UNKNOWN_START_TIME);
  }

  /** Returns whether a later incarnation may have the same identifier. */
  boolean identifierReusable() {
    return startTimeMillis != UNKNOWN_START_TIME;
  }

  /** Returns whether a message from this worker's identifier may come from this incarnation. */
  boolean matchesStartTime(long millis) {
    return millis == startTimeMillis
        || millis == UNKNOWN_START_TIME
        || startTimeMillis == UNKNOWN_START_TIME;
  }

  @Override
  public String toString() {
    return worker + "/" + startTimeMillis;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof WorkerIncarnation that
        && startTimeMillis == that.startTimeMillis
        && worker.equals(that.worker);
  }

  @Override
  public int hashCode() {
    return 31 * Long.hashCode(startTimeMillis) + worker.hashCode();
  }
}
