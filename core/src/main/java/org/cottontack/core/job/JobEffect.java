package org.cottontack.core.job;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Something to be carried out by the process around {@link JobScheduler}: an output, as data. */
public sealed interface JobEffect {

  /**
   * Writes the progress of jobs in one transaction, and answers with {@link JobEvent.ProgressSaved}
   * or {@link JobEvent.ProgressRefused}. At most one such write is in flight.
   *
   * @param progress rows of the progress of jobs
   * @param removals rows of progress to remove
   * @param learned estimates for images and queues, stored for the next leader; empty when they
   *     were written a short while ago
   * @param facts what the next leader cannot learn from workers, on this leader's steady clock;
   *     replaces what is stored. Empty to leave that unchanged.
   */
  record SaveProgress(
      Map<ProgressRowId, String> progress,
      Set<ProgressRowId> removals,
      String learned,
      Optional<RecoveryFacts> facts)
      implements JobEffect {

    /** Keeps the maps immutable. */
    public SaveProgress {
      progress = Map.copyOf(progress);
      removals = Set.copyOf(removals);
    }
  }

  /**
   * Starts a run.
   *
   * @param target the worker
   * @param run the run
   * @param payload the job's opaque text
   * @param deadlineMillis when the order expires, on the worker's clock; the worker refuses it
   *     afterwards, and the lease of the started run lasts at least until then
   * @param checkpoint where to resume from; empty to start from the beginning
   * @param earliestClockMillis what the clock of the incarnation that the order is meant for shows
   *     at the earliest when the order arrives; 0 if nothing is known of it
   */
  record StartRun(
      OrderTarget target,
      RunKey run,
      String payload,
      long deadlineMillis,
      String checkpoint,
      long earliestClockMillis)
      implements JobEffect {

    /**
     * Returns the result of the order, which the next incarnation at the same address may have
     * answered. Its clock started later.
     *
     * @param answer what the answer says
     * @param clockMillis the clock of the incarnation that answered
     */
    public StartResult result(StartResult answer, long clockMillis) {
      return clockMillis < earliestClockMillis ? StartResult.TAKEN_BY_OTHER : answer;
    }
  }

  /** Stops a run, and keeps it from starting later. */
  record StopRun(OrderTarget target, RunKey run) implements JobEffect {}

  /**
   * Polls a worker: renews the lease of all its runs and asks for its report.
   *
   * @param target the worker
   * @param leaseEndMillis new end of the lease, on the worker's clock; 0 leaves it unchanged
   * @param acknowledged completions up to this number need not be reported again
   * @param waitMillis how long the worker may wait for a completion before it answers
   */
  record LookAtWorker(OrderTarget target, long leaseEndMillis, long acknowledged, long waitMillis)
      implements JobEffect {}

  /** Sets the pace of a run: the share of full speed that it may use, in percent. */
  record PaceRun(OrderTarget target, RunKey run, int percent) implements JobEffect {}

  /** Reports that a job no longer waits for its first start. */
  record Begun(JobId job) implements JobEffect {}

  /** Hands leadership over to an instance that may reach more workers. */
  record HandOver(String reason) implements JobEffect {}

  /** Ends this leader's term because a worker has seen a newer leader. */
  record StepDown(String reason) implements JobEffect {}

  /** Writes one log line. */
  record Note(String name, String subject, String detail) implements JobEffect {}
}
