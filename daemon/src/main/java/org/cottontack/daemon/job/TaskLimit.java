package org.cottontack.daemon.job;

import org.cottontack.core.job.JobSpec;

/**
 * The largest number of tasks of one job that a leader can hold in its memory. All instances have
 * the same memory, so a job that exceeds the limit can never run.
 *
 * @param tasks the number of tasks of one occurrence
 */
record TaskLimit(long tasks) {

  /** Memory that a task takes while its job is open, in bytes. */
  private static final long TASK_BYTES = 400;

  /** Share of the memory that one job may take. */
  private static final int JOB_SHARE = 2;

  /** Returns the limit of this process. */
  static TaskLimit ofProcess() {
    return new TaskLimit(Runtime.getRuntime().maxMemory() / JOB_SHARE / TASK_BYTES);
  }

  /** Returns whether a leader can hold a job. */
  boolean admits(JobSpec job) {
    return job.tasks() <= tasks;
  }
}
