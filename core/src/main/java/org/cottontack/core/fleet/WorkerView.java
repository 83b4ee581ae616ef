package org.cottontack.core.fleet;

import org.cottontack.core.id.WorkerId;
import org.cottontack.core.task.Demand;

/**
 * A worker as its owner sees it. Times are monotonic milliseconds.
 *
 * @param id the worker
 * @param address {@code host:port}
 * @param capacity what it can hold
 * @param rack its rack
 * @param leaving whether it is to receive no new work
 * @param owned whether this process may give it orders
 * @param ownedSince when it became owned, or -1
 * @param read whether what it runs was read since it became owned
 * @param boot its current boot, empty before the first report
 * @param clockOffset its clock minus this process's clock, as a lower bound
 * @param answeredAt when it last answered
 * @param polledAt when it was last polled, or -1
 * @param renewSentAt when it was last sent a renewal of its tasks' leases
 * @param failures tasks that failed there in a row
 * @param quarantinedUntil until when it receives no task because everything failed there
 */
public record WorkerView(
    WorkerId id,
    String address,
    Demand capacity,
    String rack,
    boolean leaving,
    boolean owned,
    long ownedSince,
    boolean read,
    String boot,
    long clockOffset,
    long answeredAt,
    long polledAt,
    long renewSentAt,
    int failures,
    long quarantinedUntil) {

  /** Renewals stop after this silence, so that the wait for the lapse has a fixed end. */
  static final long SILENCE_MILLIS = 5_000;

  private static final int FAILURES_TO_QUARANTINE = 3;
  private static final long QUARANTINE_MILLIS = 30_000;
  private static final int MAX_DOUBLINGS = 4;

  /** Returns the name under which members share a worker. */
  public static String resource(WorkerId worker) {
    return "worker/" + worker;
  }

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

  /** Returns whether tasks may be placed here at this time. */
  public boolean takesTasks(long now) {
    return owned && read && !leaving && !silent(now) && now >= quarantinedUntil;
  }

  /** Returns whether it has not answered for so long that its tasks' leases are left to lapse. */
  public boolean silent(long now) {
    return answeredAt < 0 || now - answeredAt > SILENCE_MILLIS;
  }

  /** Returns whether only one task at a time is tried here after a quarantine. */
  public boolean onProbation() {
    return failures >= FAILURES_TO_QUARANTINE;
  }

  /** Returns this view after a report. */
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

  /** Returns this view after a poll was sent. */
  public WorkerView polled(long now) {
    return new WorkerView(
        id,
        address,
        capacity,
        rack,
        leaving,
        owned,
        ownedSince,
        read,
        boot,
        clockOffset,
        answeredAt,
        now,
        renewSentAt,
        failures,
        quarantinedUntil);
  }

  /** Returns this view after a renewal was sent. */
  public WorkerView renewed(long now) {
    return new WorkerView(
        id,
        address,
        capacity,
        rack,
        leaving,
        owned,
        ownedSince,
        read,
        boot,
        clockOffset,
        answeredAt,
        polledAt,
        now,
        failures,
        quarantinedUntil);
  }

  /** Returns this view after a task ended here. */
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
        read,
        boot,
        clockOffset,
        answeredAt,
        polledAt,
        renewSentAt,
        count,
        until);
  }

  WorkerView relisted(MemberInfo info) {
    return new WorkerView(
        id,
        info.address(),
        info.capacity(),
        info.rack(),
        info.leaving(),
        owned,
        ownedSince,
        read,
        boot,
        clockOffset,
        answeredAt,
        polledAt,
        renewSentAt,
        failures,
        quarantinedUntil);
  }

  /**
   * Returns this view when ownership begins or ends. A new owner counts the silence and the lease
   * of running tasks from now, as an earlier owner may have renewed them up to this moment.
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
        read,
        boot,
        clockOffset,
        answeredAt,
        polledAt,
        renewSentAt,
        failures,
        quarantinedUntil);
  }
}
