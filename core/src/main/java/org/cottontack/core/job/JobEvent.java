package org.cottontack.core.job;

import java.util.Set;
import org.cottontack.core.Moment;
import org.cottontack.core.id.DataCentreId;

/** Something that happened: an input of {@link JobScheduler}. */
public sealed interface JobEvent {

  /** New rules are in force. */
  record TableChanged(JobTable table) implements JobEvent {}

  /**
   * The data centres whose workers are to get nothing new.
   *
   * @param dataCentres all of them; those named before and not now are taken back
   */
  record DataCentresEvacuated(Set<DataCentreId> dataCentres) implements JobEvent {

    /** Keeps the set immutable. */
    public DataCentresEvacuated {
      dataCentres = Set.copyOf(dataCentres);
    }
  }

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
  record WorkerUnlisted(WorkerIncarnation worker) implements JobEvent {}

  /** A worker answered a look; {@code sentMillis} is when it was asked, on our steady clock. */
  record WorkerReported(WorkerIncarnation worker, long sentMillis, WorkerReport report)
      implements JobEvent {}

  /** A look at a worker got no answer. */
  record WorkerSilent(WorkerIncarnation worker) implements JobEvent {}

  /** Another life of the worker answers at its address, so this one and its runs are gone. */
  record WorkerReborn(WorkerIncarnation worker) implements JobEvent {}

  /** A worker refused a look since it has seen a higher fencing token. */
  record WorkerFenced(WorkerIncarnation worker) implements JobEvent {}

  /** An order to start a run was answered or lost. */
  record StartEnded(WorkerIncarnation worker, RunKey run, StartResult result) implements JobEvent {}

  /** An order to stop a run was answered or lost. */
  record StopEnded(WorkerIncarnation worker, RunKey run, boolean answered) implements JobEvent {}

  /** An order to pace a run got no answer, so the run's pace is not known. */
  record PaceLost(WorkerIncarnation worker, RunKey run) implements JobEvent {}

  /** The last {@link JobEffect.SaveProgress} is in the store. */
  record ProgressSaved() implements JobEvent {}

  /**
   * News has come with which work may be started for some time.
   *
   * @param untilMillis when nothing may begin any more by what is known, on our steady clock
   */
  record StartsBounded(long untilMillis) implements JobEvent {}

  /**
   * Time has passed.
   *
   * @param renewal when the last renewal of the leader's lease that is in the store was sent
   */
  record Tick(Moment renewal) implements JobEvent {}
}
