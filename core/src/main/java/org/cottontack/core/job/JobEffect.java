package org.cottontack.core.job;

import java.util.Map;

/** Something to be done outside: an output of {@link JobScheduler}, as data. */
public sealed interface JobEffect {

  /**
   * Writes the progress of jobs in one transaction, and answers with {@link
   * JobEvent.ProgressSaved}. There is at most one under way.
   *
   * @param progress the stored form of each job's progress
   * @param learned what the next leader should know of images and queues; empty when it was written
   *     a short while ago
   */
  record SaveProgress(Map<JobId, String> progress, String learned) implements JobEffect {

    /** Keeps the map immutable. */
    public SaveProgress {
      progress = Map.copyOf(progress);
    }
  }

  /**
   * Starts a run.
   *
   * @param target on which worker
   * @param run the run
   * @param payload the job's opaque text
   * @param deadlineMillis when the order ends, on the worker's clock, which refuses it afterwards;
   *     what it starts has a lease until then at least
   * @param checkpoint where to resume from, empty to start afresh
   */
  record StartRun(
      OrderTarget target, RunKey run, String payload, long deadlineMillis, String checkpoint)
      implements JobEffect {}

  /** Stops a run, and bars it from starting later. */
  record StopRun(OrderTarget target, RunKey run) implements JobEffect {}

  /**
   * Renews the lease of all that runs on a worker and asks what runs there.
   *
   * @param target the worker
   * @param leaseEndMillis new end of the lease on the worker's clock; 0 leaves it
   * @param acknowledged ends up to this number need not be reported again
   * @param waitMillis how long the worker may wait for an end before it answers
   */
  record LookAtWorker(OrderTarget target, long leaseEndMillis, long acknowledged, long waitMillis)
      implements JobEffect {}

  /** Lets a run use a share of its speed. */
  record PaceRun(OrderTarget target, RunKey run, int percent) implements JobEffect {}

  /** A job no longer waits for its first start. */
  record Begun(JobId job) implements JobEffect {}

  /** Gives the lead to an instance that may reach more workers. */
  record HandOver(String reason) implements JobEffect {}

  /** Gives up leading: a worker has seen a newer leader. */
  record StepDown(String reason) implements JobEffect {}

  /** Writes one log line. */
  record Note(String name, String subject, String detail) implements JobEffect {}
}
