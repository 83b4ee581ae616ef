package org.cottontack.core.admission;

/**
 * What an admission decision needs to know of a job that is not complete. Work is in thousandths of
 * a core times milliseconds.
 *
 * @param pool the pool that runs it
 * @param queue the name of its queue
 * @param declaredWork its work as its caller declared it
 * @param remainingWork its expected work that is not done
 * @param waits whether a task of it waits for a place
 * @param useful whether it can still be complete within three times its objective
 * @param onTime whether it can still be complete within its objective
 */
public record ObservedJob(
    String pool,
    String queue,
    double declaredWork,
    double remainingWork,
    boolean waits,
    boolean useful,
    boolean onTime) {

  boolean waitsUsefully() {
    return waits && useful;
  }
}
