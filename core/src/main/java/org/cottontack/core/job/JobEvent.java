package org.cottontack.core.job;

import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.cottontack.core.Moment;
import org.cottontack.core.id.DataCentreId;

/** Something that happened: an input of {@link JobScheduler}. */
public sealed interface JobEvent {

  /** New rules are in force. */
  record TableChanged(JobTable table) implements JobEvent {}

  /**
   * The set of data centres under evacuation has changed. Their workers get no new runs.
   *
   * @param dataCentres all of them; the evacuation of a data centre that is no longer in the set
   *     has ended
   */
  record DataCentresEvacuated(Set<DataCentreId> dataCentres) implements JobEvent {

    /** Keeps the set immutable. */
    public DataCentresEvacuated {
      dataCentres = Set.copyOf(dataCentres);
    }
  }

  /** A job was accepted. Repeated events for one job are ignored. */
  record JobArrived(JobSpec job) implements JobEvent {}

  /** A job was read from the store after a change of leader, with its stored progress. */
  record JobRecovered(JobSpec job, StoredProgress progress) implements JobEvent {}

  /**
   * Rows of progress were found that no longer belong to an open job.
   *
   * @param rows the rows, which are to be removed
   */
  record RowsLeftOver(Set<ProgressRowId> rows) implements JobEvent {

    /** Keeps the set immutable. */
    public RowsLeftOver {
      rows = Set.copyOf(rows);
    }
  }

  /** The stored estimates of an earlier leader were read. */
  record LearnedRecovered(String learned) implements JobEvent {}

  /**
   * The ends of leases of unreachable workers that earlier leaders stored were read. Comes before
   * any worker or job.
   *
   * @param ends when all leases of a worker have ended
   */
  record LeaseEndsRecovered(Map<WorkerIncarnation, LeaseEndBounds> ends) implements JobEvent {

    /** Keeps the map immutable. */
    public LeaseEndsRecovered {
      ends = Map.copyOf(ends);
    }
  }

  /**
   * What earlier leaders stored of starts was read. Comes before any job.
   *
   * @param starts for a run of a long-running task, until when its starts and those of earlier runs
   *     may be carried out, on this leader's steady clock
   * @param ignoredStart when the latest ignored start was sent at the latest, on the same clock
   */
  record StartsRecovered(Map<RunKey, StartExpiry> starts, OptionalLong ignoredStart)
      implements JobEvent {

    /** Keeps the map immutable. */
    public StartsRecovered {
      starts = Map.copyOf(starts);
    }
  }

  /**
   * Rows of open jobs were found that this leader cannot read, because of damage or another
   * version. Their runs go on, and no completion of theirs is acknowledged. Comes before any
   * cancellation.
   *
   * @param jobs the jobs
   */
  record JobsLeftAlone(Set<JobId> jobs) implements JobEvent {

    /** Keeps the set immutable. */
    public JobsLeftAlone {
      jobs = Set.copyOf(jobs);
    }
  }

  /** A caller cancelled a job. */
  record JobCancelled(JobId job) implements JobEvent {}

  /** A worker registered, or its registration changed. */
  record WorkerSeen(WorkerInfo worker) implements JobEvent {}

  /** A worker's registration is gone; the worker itself may still run. */
  record WorkerUnlisted(WorkerIncarnation worker) implements JobEvent {}

  /**
   * A worker answered a poll. {@code sentMillis} is when the poll was sent, on this leader's steady
   * clock.
   */
  record WorkerReported(WorkerIncarnation worker, long sentMillis, WorkerReport report)
      implements JobEvent {}

  /** A poll of a worker got no answer. */
  record WorkerSilent(WorkerIncarnation worker) implements JobEvent {}

  /**
   * Another incarnation of the worker answers at its address, so this incarnation and its runs no
   * longer exist.
   */
  record WorkerReborn(WorkerIncarnation worker) implements JobEvent {}

  /** A worker refused a poll because it has seen a higher fencing token. */
  record WorkerFenced(WorkerIncarnation worker) implements JobEvent {}

  /** A start order was answered, or its answer was lost. */
  record StartEnded(WorkerIncarnation worker, RunKey run, StartResult result) implements JobEvent {}

  /** A stop order was answered, or its answer was lost. */
  record StopEnded(WorkerIncarnation worker, RunKey run, boolean answered) implements JobEvent {}

  /** An order to pace a run got no answer, so the run's pace is unknown. */
  record PaceLost(WorkerIncarnation worker, RunKey run) implements JobEvent {}

  /** The last {@link JobEffect.SaveProgress} is in the store. */
  record ProgressSaved() implements JobEvent {}

  /**
   * The store has refused the last {@link JobEffect.SaveProgress} for its content. Nothing of it is
   * in the store, and it would be refused again.
   */
  record ProgressRefused() implements JobEvent {}

  /**
   * The leader's information is fresh, so runs may be started for a limited time.
   *
   * @param untilMillis when runs may no longer begin without fresher information, on this leader's
   *     steady clock
   */
  record StartsBounded(long untilMillis) implements JobEvent {}

  /**
   * Time has passed.
   *
   * @param renewal when the last stored renewal of the leader's lease was sent
   */
  record Tick(Moment renewal) implements JobEvent {}
}
