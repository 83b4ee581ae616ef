package org.cottontack.core;

import org.cottontack.core.fleet.FleetState;
import org.cottontack.core.ownership.OwnershipState;
import org.cottontack.core.request.RequestState;
import org.cottontack.core.store.StoreState;
import org.cottontack.core.table.TableState;
import org.cottontack.core.task.TaskState;

/**
 * The whole state of one process. Immutable; parts share structure with their predecessors.
 *
 * @param settings fixed for the lifetime of the process
 * @param now the time of the event being reduced
 * @param store writes that wait or are in flight
 * @param ownership leases, epochs and members
 * @param table the operators' table in force
 * @param fleet workers and endpoints
 * @param requests requests in this process
 * @param tasks tasks that this process owns
 */
public record State(
    Settings settings,
    Moment now,
    StoreState store,
    OwnershipState ownership,
    TableState table,
    FleetState fleet,
    RequestState requests,
    TaskState tasks) {

  /** Returns the state of a process that has just started. */
  public static State initial(Settings settings, Moment now) {
    return new State(
        settings,
        now,
        StoreState.EMPTY,
        OwnershipState.EMPTY,
        TableState.EMPTY,
        FleetState.EMPTY,
        RequestState.EMPTY,
        TaskState.EMPTY);
  }

  /** Returns the monotonic time of the event being reduced, in milliseconds. */
  public long mono() {
    return now.mono();
  }

  /** Returns this state with another time. */
  public State at(Moment moment) {
    return new State(settings, moment, store, ownership, table, fleet, requests, tasks);
  }

  /** Returns this state with another store part. */
  public State with(StoreState part) {
    return new State(settings, now, part, ownership, table, fleet, requests, tasks);
  }

  /** Returns this state with another ownership part. */
  public State with(OwnershipState part) {
    return new State(settings, now, store, part, table, fleet, requests, tasks);
  }

  /** Returns this state with another table part. */
  public State with(TableState part) {
    return new State(settings, now, store, ownership, part, fleet, requests, tasks);
  }

  /** Returns this state with another fleet part. */
  public State with(FleetState part) {
    return new State(settings, now, store, ownership, table, part, requests, tasks);
  }

  /** Returns this state with another request part. */
  public State with(RequestState part) {
    return new State(settings, now, store, ownership, table, fleet, part, tasks);
  }

  /** Returns this state with another task part. */
  public State with(TaskState part) {
    return new State(settings, now, store, ownership, table, fleet, requests, part);
  }
}
