package org.cottontack.core.job;

/**
 * Intervals of a leader's term, in milliseconds, and size limits.
 *
 * @param pollWaitMillis how long a worker may wait for a completion before it answers a poll
 * @param contendedPollWaitMillis the same where best-effort tasks run beside serving tasks
 * @param pollRetryMillis minimum time between two polls of a worker that does not answer
 * @param idlePollMillis time between two polls of a worker that runs nothing
 * @param stopRetryMillis time after which a stop order without effect is sent again
 * @param avoidMillis how long a worker that refused a start gets no more starts
 * @param stalledMillis time without progress after which a run is stopped and restarted elsewhere
 * @param firstPollsMillis age of a term from which silent workers count towards partition
 *     detection, because all workers have been polled by then
 * @param learnedMillis time between two writes of the estimates for images and queues
 * @param logLoadMillis time between two log lines about the load of all workers
 * @param cancelsKept maximum number of cancellations kept for jobs that have not arrived yet
 * @param jobsPerSave maximum number of jobs in one transaction
 * @param storeLimits limits of the store for one transaction
 */
public record JobTiming(
    long pollWaitMillis,
    long contendedPollWaitMillis,
    long pollRetryMillis,
    long idlePollMillis,
    long stopRetryMillis,
    long avoidMillis,
    long stalledMillis,
    long firstPollsMillis,
    long learnedMillis,
    long logLoadMillis,
    int cancelsKept,
    int jobsPerSave,
    StoreLimits storeLimits) {

  /**
   * Entries of a save beside the rows of jobs: two rows that belong to no job, and the fence, which
   * is expected and written.
   */
  private static final int SHARED_ENTRIES = 4;

  /**
   * The values in use. One percent of a usual task takes 20 ms and the slowest starts take 0.6 s,
   * so a run without progress for 2.5 s is stalled rather than slow.
   */
  public static final JobTiming STANDARD =
      new JobTiming(
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
          80,
          StoreLimits.STANDARD);

  /** Returns the same values for a store with other limits. */
  public JobTiming withStoreLimits(StoreLimits limits) {
    return new JobTiming(
        pollWaitMillis,
        contendedPollWaitMillis,
        pollRetryMillis,
        idlePollMillis,
        stopRetryMillis,
        avoidMillis,
        stalledMillis,
        firstPollsMillis,
        learnedMillis,
        logLoadMillis,
        cancelsKept,
        jobsPerSave,
        limits);
  }

  /**
   * Returns what the rows of jobs may take in one save. A row fits into half of a transaction, as a
   * save that takes several ones leaves the other half to other jobs.
   */
  StoreLimits saveLimits() {
    long sharedBytes =
        2 * StoreLimits.sentBytes(storeLimits.sharedRowBytes()) + 2 * StoreLimits.sentBytes(0);
    StoreLimits limits = storeLimits.without((int) sharedBytes, SHARED_ENTRIES);
    return limits.withRowBytes(limits.half().contentBytes());
  }
}
