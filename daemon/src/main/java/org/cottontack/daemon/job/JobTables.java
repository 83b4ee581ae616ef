package org.cottontack.daemon.job;

import java.util.List;
import java.util.stream.IntStream;
import org.cottontack.core.job.JobId;

/** Where the product keeps what must last, in the platform's store. */
final class JobTables {

  /** Accepted jobs, written once by whichever instance accepts them. */
  static final String JOBS = "jobs";

  /** Cancellations, written by whichever instance takes them. */
  static final String CANCELS = "cancels";

  /** Jobs no task of which has started: written with the job, removed by the leader. */
  static final String WAITING = "waiting";

  /** The one partition of rows about leading. */
  static final String LEADER_PART = "leader";

  /** Progress of jobs, written by the leader. */
  static final String PROGRESS = "progress";

  /** Who leads. */
  static final String LEADER = "leader";

  /** The one partition of progress rows. */
  static final String PROGRESS_PART = "progress";

  /** The row that each write of progress must find unchanged; no job's identifier looks like it. */
  static final RowKey FENCE = new RowKey(PROGRESS, PROGRESS_PART, "!fence");

  /** What leaders have learned of images and queues; written with progress. */
  static final RowKey LEARNED = new RowKey(PROGRESS, PROGRESS_PART, "!learned");

  /** Partitions of accepted jobs: enough for a burst of accepts while the store is slow. */
  static final int INTAKE_PARTS = 4;

  private JobTables() {}

  /** Returns the partitions of accepted jobs and cancellations. */
  static List<String> intakeParts() {
    return IntStream.range(0, INTAKE_PARTS).mapToObj(number -> "intake-" + number).toList();
  }

  /**
   * Returns where a job's row lies. It follows from the identifier alone: two instances that get
   * the same submission at once write the same row, and only one of the writes finds it absent.
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
    return new RowKey(PROGRESS, PROGRESS_PART, id.value());
  }

  private static String part(JobId id) {
    return "intake-" + Math.floorMod(id.value().hashCode(), INTAKE_PARTS);
  }
}
