package org.cottontack.core.task;

import org.cottontack.core.id.WorkerId;

/**
 * A task that this process is responsible for.
 *
 * @param record its last known record in the store
 * @param version the version of that record
 * @param activity state of this process's writes and orders for it
 * @param next the record being written, or null
 * @param usage the maximum of its measured usage in each dimension
 * @param checkpoint newest checkpoint that its worker reported, or null
 * @param orderedAt monotonic time of the last order or notice about it
 * @param keepUntil monotonic time until which it is kept even if another instance is responsible
 */
public record TaskView(
    TaskRecord record,
    long version,
    Activity activity,
    TaskRecord next,
    Demand usage,
    String checkpoint,
    long orderedAt,
    long keepUntil) {

  /** The state of this process's writes and orders for a task. */
  public enum Activity {
    /** No write or order is pending; the record is the whole state. */
    NOTHING,
    /** A change of its record is being written. */
    WRITING,
    /** A start order is in flight or its answer was lost. */
    STARTING,
    /** Its worker reported it running. */
    RUNNING,
    /** A stop order was sent. */
    STOPPING
  }

  static TaskView loaded(TaskRecord record, long version, long keepUntil) {
    return new TaskView(
        record, version, Activity.NOTHING, null, Demand.NONE, record.checkpoint(), 0, keepUntil);
  }

  /** Returns the resources it occupies: the larger of declared and measured in each dimension. */
  Demand occupied() {
    return record.demand().max(usage);
  }

  /** Returns the worker whose capacity it occupies; a placement that is being written counts. */
  WorkerId occupies() {
    if (next != null && next.phase() == TaskPhase.PLACED) {
      return next.worker();
    }
    return record.phase() == TaskPhase.PLACED ? record.worker() : null;
  }

  boolean waiting() {
    return record.phase() == TaskPhase.QUEUED && activity == Activity.NOTHING;
  }

  TaskView activity(Activity value) {
    return new TaskView(record, version, value, next, usage, checkpoint, orderedAt, keepUntil);
  }

  TaskView ordered(Activity value, long now) {
    return new TaskView(record, version, value, next, usage, checkpoint, now, keepUntil);
  }

  TaskView writing(TaskRecord target) {
    return new TaskView(
        record, version, Activity.WRITING, target, usage, checkpoint, orderedAt, keepUntil);
  }

  TaskView written() {
    return new TaskView(
        next, version + 1, Activity.NOTHING, null, usage, next.checkpoint(), orderedAt, keepUntil);
  }

  TaskView measured(RunReport report) {
    String newest = report.checkpoint() == null ? checkpoint : report.checkpoint();
    return new TaskView(
        record, version, activity, next, usage.max(report.usage()), newest, orderedAt, keepUntil);
  }
}
