package org.cottontack.core.job;

import org.cottontack.core.id.WorkerId;

/**
 * One life of a worker. A worker that crashed may start again under its identifier: it then runs
 * nothing, and its clock and the numbers of its ends begin anew.
 *
 * @param worker the identifier, which several lives may share
 * @param bornMillis when this life began, in milliseconds since 1970; {@link #UNSTATED} where the
 *     platform does not say so
 */
public record WorkerLife(WorkerId worker, long bornMillis) {

  /** Stands for a beginning that is not known. */
  public static final long UNSTATED = 0;

  /** Returns the only life of a worker that never starts again under its identifier. */
  public static WorkerLife only(WorkerId worker) {
    return new WorkerLife(worker, UNSTATED);
  }

  /** Returns whether a later life may have the same identifier. */
  boolean mayReturn() {
    return bornMillis != UNSTATED;
  }

  /** Returns whether something said by this worker's identifier may come from this life. */
  boolean beganAt(long millis) {
    return millis == bornMillis || millis == UNSTATED || bornMillis == UNSTATED;
  }

  @Override
  public String toString() {
    return worker + "/" + bornMillis;
  }
}
