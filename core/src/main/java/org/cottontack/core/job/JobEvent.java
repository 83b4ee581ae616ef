package org.cottontack.core.job;

import org.cottontack.core.Moment;
import org.cottontack.core.id.WorkerId;

/** Something that happened: an input of {@link JobScheduler}. */
public sealed interface JobEvent {

  /** New rules are in force. */
  record TableChanged(JobTable table) implements JobEvent {}

  /** A job was accepted; repeated news of one job is ignored. */
  record JobArrived(JobSpec job) implements JobEvent {}

  /** A job was read back after a change of leader, with its stored progress. */
  record JobRecovered(JobSpec job, String progress) implements JobEvent {}

  /** What an earlier leader has learned was read back. */
  record LearnedRecovered(String learned) implements JobEvent {}

  /** A caller cancelled a job. */
  record JobCancelled(JobId job) implements JobEvent {}

  /** A worker registered, or its registration changed. */
  record WorkerSeen(WorkerInfo worker) implements JobEvent {}

  /** A worker's registration is gone; the worker itself may still run. */
  record WorkerUnlisted(WorkerId worker) implements JobEvent {}

  /** A worker answered a look; {@code sentMillis} is when it was asked, on our steady clock. */
  record WorkerReported(WorkerId worker, long sentMillis, WorkerReport report)
      implements JobEvent {}

  /** A look at a worker got no answer. */
  record WorkerSilent(WorkerId worker) implements JobEvent {}

  /** Another life of the worker answers at its address, so this one and its runs are gone. */
  record WorkerReborn(WorkerId worker) implements JobEvent {}

  /** An order to start a run was answered or lost. */
  record StartEnded(WorkerId worker, RunKey run, StartResult result) implements JobEvent {}

  /** An order to stop a run was answered or lost. */
  record StopEnded(WorkerId worker, RunKey run, boolean answered) implements JobEvent {}

  /** An order to pace a run got no answer, so the run's pace is not known. */
  record PaceLost(WorkerId worker, RunKey run) implements JobEvent {}

  /** The last {@link JobEffect.SaveProgress} is in the store. */
  record ProgressSaved() implements JobEvent {}

  /**
   * Time has passed.
   *
   * @param renewal when the last renewal of the leader's lease that is in the store was sent
   */
  record Tick(Moment renewal) implements JobEvent {}
}
