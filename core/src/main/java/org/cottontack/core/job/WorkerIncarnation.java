package org.cottontack.core.job;

import org.cottontack.core.id.WorkerId;

/**
 * One life of a worker. A worker that crashed may start again under its identifier: it then runs
 * nothing, and its clock and the numbers of its ends begin anew.
 *
 * @param worker the identifier, which several lives may share
 * @param startTimeMillis when this life began, in milliseconds since 1970; {@link
 *     #UNKNOWN_START_TIME} where the platform does not say so
 */
public record WorkerIncarnation(WorkerId worker, long startTimeMillis) {

  /** Stands for a beginning that is not known. */
  public static final long UNKNOWN_START_TIME = 0;

  /** Returns the only life of a worker that never starts again under its identifier. */
  public static WorkerIncarnation withUniqueIdentifier(WorkerId worker) {
    return new WorkerIncarnation(worker, UNKNOWN_START_TIME);
  }

  /** Returns whether a later life may have the same identifier. */
  boolean identifierReusable() {
    return startTimeMillis != UNKNOWN_START_TIME;
  }

  /** Returns whether something said by this worker's identifier may come from this life. */
  boolean matchesStartTime(long millis) {
    return millis == startTimeMillis
        || millis == UNKNOWN_START_TIME
        || startTimeMillis == UNKNOWN_START_TIME;
  }

  @Override
  public String toString() {
    return worker + "/" + startTimeMillis;
  }
}
