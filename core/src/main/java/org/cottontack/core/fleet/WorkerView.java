package org.cottontack.core.fleet;

import org.cottontack.core.id.WorkerId;
import org.cottontack.core.task.Demand;

/**
 * The state of a worker in this process. Times are monotonic milliseconds.
 *
 * @param id the worker
 * @param address {@code host:port}
 * @param capacity its capacity for tasks
 * @param rack its rack
 * @param leaving whether it must receive no new work
 * @param owned whether this process owns it and may send it orders
 * @param ownedSince when this process became its owner, or -1
 * @param reported whether it has reported what it runs since this process became its owner
 * @param boot identifier of its current boot, empty before the first report
 * @param clockOffset lower bound of its clock minus this process's clock
 * @param answeredAt when it last answered, or -1
 * @param polledAt when it was last polled, or -1
 * @param renewSentAt when the last renewal of its tasks' leases was sent, or when this process
 *     became its owner, or -1
 * @param failures number of consecutive tasks that failed there
 * @param quarantinedUntil time until which it receives no tasks, because of these failures
 */
public record WorkerView(
    WorkerId id,
    String address,
    Demand capacity,
    String rack,
    boolean leaving,
    boolean owned,
    long ownedSince,
    boolean reported,
    String boot,
    long clockOffset,
    long answeredAt,
    long polledAt,
    long renewSentAt,
    int failures,
    long quarantinedUntil) {

  /**
   * Time without an answer after which the leases of a worker's tasks are no longer renewed, so
   * that the wait for their expiry has a fixed end.
   */
  static final long SILENCE_MILLIS = 5_000;

  private static final int FAILURES_TO_QUARANTINE = 3;
  private static final long QUARANTINE_MILLIS = 30_000;
  private static final int MAX_DOUBLINGS = 4;

  /** Returns the resource name of a worker, by which it is assigned to a member. */
  public static String resource(WorkerId worker) {
    return "worker/" + worker;
  }

  /** Returns the initial state of a worker that appeared in the platform's list. */
  static WorkerView listed(MemberInfo info) {
    return new WorkerView(
        new WorkerId(info.name()),
        info.address(),
        info.capacity(),
        info.rack(),
        info.leaving(),
        false,
        -1,
        false,
        "",
        0,
        -1,
        -1,
        -1,
        0,
        0);
  }

  /** Returns whether tasks may be placed here at the given time. */
  public boolean takesTasks(long now) {
    return owned && reported && !leaving && !silent(now) && now >= quarantinedUntil;
  }

  /**
   * Returns whether it has not answered for so long that the leases of its tasks are no longer
   * renewed.
   */
  public boolean silent(long now) {
    return answeredAt < 0 || now - answeredAt > SILENCE_MILLIS;
  }

  /** Returns whether the worker is limited to one task at a time after a quarantine. */
  public boolean onProbation() {
    return failures >= FAILURES_TO_QUARANTINE;
  }

  /** Returns this state after a report of the worker. */
  public WorkerView answered(String newBoot, long offset, long now) {
    return new WorkerView(
        id,
        address,
        capacity,
        rack,
        leaving,
        owned,
        ownedSince,
        true,
        newBoot,
        offset,
        now,
        polledAt,
        renewSentAt,
        failures,
        quarantinedUntil);
  }

  /** Returns this state after a poll was sent. */
  public WorkerView polled(long now) {
    return new WorkerView(
        id,
        address,
        capacity,
        rack,
        leaving,
        owned,
        ownedSince,
        reported,
        boot,
        clockOffset,
        answeredAt,
        now,
        renewSentAt,
        failures,
        quarantinedUntil);
  }

  /** Returns this state after a renewal was sent. */
  public WorkerView renewed(long now) {
    return new WorkerView(
        id,
        address,
        capacity,
        rack,
        leaving,
        owned,
        ownedSince,
        reported,
        boot,
        clockOffset,
        answeredAt,
        polledAt,
        now,
        failures,
        quarantinedUntil);
  }

  /**
   * Returns this state after a task ended here. The third consecutive failure starts a quarantine,
   * whose length doubles with each further failure up to the maximum.
   */
  public WorkerView taskEnded(boolean succeeded, long now) {
    int count = succeeded ? 0 : failures + 1;
    int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, count - FAILURES_TO_QUARANTINE));
    long until = count >= FAILURES_TO_QUARANTINE ? now + (QUARANTINE_MILLIS << doublings) : 0;
    return new WorkerView(
        id,
        address,
        capacity,
        rack,
        leaving,
        owned,
        ownedSince,
        reported,
        boot,
        clockOffset,
        answeredAt,
        polledAt,
        renewSentAt,
        count,
        until);
  }

  /** Returns this state updated from the platform's list. */
  WorkerView relisted(MemberInfo info) {
    return new WorkerView(
        id,
        info.address(),
        info.capacity(),
        info.rack(),
        info.leaving(),
        owned,
        ownedSince,
        reported,
        boot,
        clockOffset,
        answeredAt,
        polledAt,
        renewSentAt,
        failures,
        quarantinedUntil);
  }

  /**
   * Returns this state when ownership begins or ends. A new owner measures the time without an
   * answer and the leases of running tasks from now on, because the previous owner may have renewed
   * them until this moment.
   */
  WorkerView withOwned(boolean value, long now) {
    return new WorkerView(
        id,
        address,
        capacity,
        rack,
        leaving,
        value,
        value ? now : -1,
        false,
        boot,
        clockOffset,
        -1,
        -1,
        value ? now : -1,
        failures,
        quarantinedUntil);
  }

  WorkerView withLeaving() {
    return new WorkerView(
        id,
        address,
        capacity,
        rack,
        true,
        owned,
        ownedSince,
        reported,
        boot,
        clockOffset,
        answeredAt,
        polledAt,
        renewSentAt,
        failures,
        quarantinedUntil);
  }
}
