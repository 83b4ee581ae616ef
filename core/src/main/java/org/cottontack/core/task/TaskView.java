package org.cottontack.core.task;

import org.cottontack.core.id.WorkerId;

/**
 * A task this process looks after.
 *
 * @param record as last known to be in the store
 * @param version its version there
 * @param doing what this process is doing about it
 * @param next the record being written, or null
 * @param usage the most it was measured to use
 * @param checkpoint newest checkpoint its worker reported, or null
 * @param orderedAt monotonic time of the last order about it
 * @param keepUntil monotonic time until which it is kept although another instance looks after it
 */
public record TaskView(
    TaskRecord record,
    long version,
    Doing doing,
    TaskRecord next,
    Demand usage,
    String checkpoint,
    long orderedAt,
    long keepUntil) {

  /** What this process is doing about a task. */
  public enum Doing {
    /** Nothing; the record says all. */
    NOTHING,
    /** Its record is being changed. */
    WRITING,
    /** A start order is under way or its answer was lost. */
    STARTING,
    /** Its worker reported it running. */
    RUNNING,
    /** A stop order was sent. */
    STOPPING
  }

  static TaskView loaded(TaskRecord record, long version, long keepUntil) {
    return new TaskView(
        record, version, Doing.NOTHING, null, Demand.NONE, record.checkpoint(), 0, keepUntil);
  }

  /** Returns what it occupies: the larger of declared and measured. */
  Demand occupied() {
    return record.demand().max(usage);
  }

  /** Returns the worker whose capacity it takes, counting a placement that is being written. */
  WorkerId occupies() {
    if (next != null && next.phase() == TaskPhase.PLACED) {
      return next.worker();
    }
    return record.phase() == TaskPhase.PLACED ? record.worker() : null;
  }

  boolean waiting() {
    return record.phase() == TaskPhase.QUEUED && doing == Doing.NOTHING;
  }

  TaskView doing(Doing value) {
    return new TaskView(record, version, value, next, usage, checkpoint, orderedAt, keepUntil);
  }

  TaskView ordered(Doing value, long now) {
    return new TaskView(record, version, value, next, usage, checkpoint, now, keepUntil);
  }

  TaskView writing(TaskRecord target) {
    return new TaskView(
        record, version, Doing.WRITING, target, usage, checkpoint, orderedAt, keepUntil);
  }

  TaskView written() {
    return new TaskView(
        next, version + 1, Doing.NOTHING, null, usage, next.checkpoint(), orderedAt, keepUntil);
  }

  TaskView measured(RunReport report) {
    String newest = report.checkpoint() == null ? checkpoint : report.checkpoint();
    return new TaskView(
        record, version, doing, next, usage.max(report.usage()), newest, orderedAt, keepUntil);
  }
}
