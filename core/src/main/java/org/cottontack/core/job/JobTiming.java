package org.cottontack.core.job;

/**
 * Waits and lease lengths of a leader's term, in milliseconds, and sizes.
 *
 * @param pollWaitMillis how long a worker may wait for an end before it answers a look
 * @param contendedPollWaitMillis the same where tasks that fill run beside tasks that serve
 * @param pollRetryMillis least time between two looks at a worker that does not answer
 * @param idlePollMillis time between two looks at a worker that runs nothing
 * @param stopRetryMillis time after which a stop without effect is sent again
 * @param avoidMillis how long a worker that refused work gets no more
 * @param stalledMillis time without progress after which a run is stopped and tried elsewhere
 * @param firstPollsMillis age of a term from which on silence of workers is judged: all have been
 *     asked
 * @param learnedMillis time between two writes of what was learned about images and queues
 * @param logLoadMillis time between two log lines about the load of all workers
 * @param cancelsKept most cancellations kept for jobs that were not heard of yet
 * @param jobsPerSave most jobs in one transaction
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
    int jobsPerSave) {

  /**
   * The values in use. One percent of a usual task is 20 ms, and the slowest starts take 0.6 s, so
   * 2.5 s without progress is no slow task.
   */
  public static final JobTiming STANDARD =
      new JobTiming(1_000, 500, 400, 5_000, 400, 500, 2_500, 3_000, 2_000, 2_000, 10_000, 80);
}
