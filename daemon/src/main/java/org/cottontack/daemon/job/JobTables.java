package org.cottontack.daemon.job;

import java.util.List;
import java.util.stream.IntStream;
import org.cottontack.core.job.JobId;
import org.cottontack.core.job.ProgressRowId;

/** The tables, partitions and row keys of persistent data in the platform's store. */
final class JobTables {

  /** Accepted jobs, written once by the instance that accepts them. */
  static final String JOBS = "jobs";

  /** Cancellations, written by the instance that accepts them. */
  static final String CANCELS = "cancels";

  /** Jobs without a started task: written together with the job, removed by the leader. */
  static final String WAITING = "waiting";

  /** The single partition of the leader table. */
  static final String LEADER_PART = "leader";

  /** Progress of jobs, written by the leader. */
  static final String PROGRESS = "progress";

  /**
   * Tasks of jobs that are too many for the job's row of {@link #PROGRESS}, in the same partition.
   */
  static final String PROGRESS_TASKS = "progressTasks";

  /** Election, lease and handover of leadership. */
  static final String LEADER = "leader";

  /** The single partition of the progress table. */
  static final String PROGRESS_PART = "progress";

  /** The start of the keys of progress rows that belong to no job; no job's identifier has it. */
  static final String SHARED_PREFIX = "!";

  /** The fence row: each write of progress requires it to be unchanged. */
  static final RowKey FENCE = new RowKey(PROGRESS, PROGRESS_PART, SHARED_PREFIX + "fence");

  /** Data learned by leaders about images and queues, written together with progress. */
  static final RowKey LEARNED = new RowKey(PROGRESS, PROGRESS_PART, SHARED_PREFIX + "learned");

  /** The ends of leases of unreachable workers, written by the leader. */
  static final RowKey LEASE_ENDS = new RowKey(PROGRESS, PROGRESS_PART, SHARED_PREFIX + "leaseEnds");

  /**
   * Number of partitions of accepted jobs: enough for a burst of submissions while the store is
   * slow.
   */
  static final int INTAKE_PARTS = 4;

  private JobTables() {}

  /** Returns the partitions of accepted jobs, cancellations and waiting rows. */
  static List<String> intakeParts() {
    return IntStream.range(0, INTAKE_PARTS).mapToObj(number -> "intake-" + number).toList();
  }

  /**
   * Returns the key of a job's row. The key depends on the identifier alone. If two instances
   * receive the same submission at the same time, they write the same row, and only one write finds
   * the row absent.
   */
  static RowKey job(JobId id) {
    return new RowKey(JOBS, part(id), id.value());
  }

  static RowKey waiting(JobId id) {
    return new RowKey(WAITING, part(id), id.value());
  }

  static RowKey cancel(JobId id) {
    return new RowKey(CANCELS, part(id), id.value());
  }

  static RowKey progress(JobId id) {
    return progress(ProgressRowId.main(id));
  }

  static RowKey progress(ProgressRowId id) {
    return new RowKey(id.isMain() ? PROGRESS : PROGRESS_TASKS, PROGRESS_PART, id.key());
  }

  private static String part(JobId id) {
    return "intake-" + Math.floorMod(id.value().hashCode(), INTAKE_PARTS);
  }
}
