package org.cottontack.core.job;

/**
 * Waits and lease lengths of a leader's term, in milliseconds, and sizes.
 *
 * @param taskLeaseMillis lease of what runs on a worker, renewed with each look
 * @param inheritedLeaseMillis how long after the start of a term a run that an earlier leader
 *     started may go on out of our reach
 * @param lookWaitMillis how long a worker may wait for an end before it answers a look
 * @param contendedWaitMillis the same where tasks that fill run beside tasks that serve
 * @param lookAgainMillis least time between two looks at a worker that does not answer
 * @param idleLookMillis time between two looks at a worker that runs nothing
 * @param stopAgainMillis time after which a stop without effect is sent again
 * @param avoidMillis how long a worker that refused work gets no more
 * @param stalledMillis time without progress after which a run is stopped and tried elsewhere
 * @param settleMillis age of a term from which on silence of workers is judged: all have been asked
 * @param learnedMillis time between two writes of what was learned about images and queues
 * @param noteLoadMillis time between two log lines about the load of all workers
 * @param cancelsKept most cancellations kept for jobs that were not heard of yet
 * @param jobsPerSave most jobs in one transaction
 */
public record JobTiming(
    long taskLeaseMillis,
    long inheritedLeaseMillis,
    long lookWaitMillis,
    long contendedWaitMillis,
    long lookAgainMillis,
    long idleLookMillis,
    long stopAgainMillis,
    long avoidMillis,
    long stalledMillis,
    long settleMillis,
    long learnedMillis,
    long noteLoadMillis,
    int cancelsKept,
    int jobsPerSave) {

  /**
   * The values in use. The task lease rides out a cut of 5.5 s, or a loss of power everywhere,
   * after the last look, at most 1 s before it, and stays under the workers' longest lease of 10 s.
   * A deposed leader may renew for {@link LeaderLease#RENEWING_MILLIS} after its last renewal. One
   * percent of a usual task is 20 ms, and the slowest starts take 0.6 s, so 2.5 s without progress
   * is no slow task.
   */
  public static final JobTiming STANDARD =
      new JobTiming(
          8_500,
          LeaderLease.RENEWING_MILLIS + 9_000,
          1_000,
          500,
          400,
          5_000,
          400,
          500,
          2_500,
          3_000,
          2_000,
          2_000,
          10_000,
          80);
}
