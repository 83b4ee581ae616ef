package org.cottontack.core.task;

import org.cottontack.core.Effect;
import org.cottontack.core.Handlers;
import org.cottontack.core.State;
import org.cottontack.core.Step;
import org.cottontack.core.fleet.FleetEvent;
import org.cottontack.core.ownership.OwnershipEvent;
import org.cottontack.core.peer.PeerEvent;
import org.cottontack.core.store.StoreEvent;

/**
 * Handles the events of tasks, from submission through placement, start and polling to the end.
 * Every change of a task is one conditional write, which takes effect before the order that it
 * allows is sent. See {@code docs/design/2-tasks.md}.
 */
public final class TaskReducer {

  private TaskReducer() {}

  /** Returns the handlers of task and worker events. */
  public static Handlers handlers() {
    return new Handlers()
        .on(OwnershipEvent.Start.class, (state, event) -> start(state))
        .on(TaskEvent.SubmitAsked.class, Tickets::submit)
        .on(TaskEvent.StatusAsked.class, Tickets::status)
        .on(TaskEvent.CancelAsked.class, Tickets::cancel)
        .on(TaskEvent.TicketExpired.class, Tickets::expired)
        .on(TaskEvent.PlaceDue.class, Placing::placeDue)
        .on(TaskEvent.PollDue.class, WorkerPolling::pollDue)
        .on(TaskEvent.SweepDue.class, Loading::sweepDue)
        .on(OwnershipEvent.GainsOpen.class, (state, event) -> Loading.loadAll(state))
        .on(FleetEvent.WorkerGained.class, (state, event) -> Loading.loadAll(state))
        .on(FleetEvent.WorkerReleased.class, Loading::workerReleased)
        .on(WorkerEvent.Reported.class, WorkerPolling::reported)
        .on(WorkerEvent.StartAnswered.class, Placing::startAnswered)
        .on(PeerEvent.Received.class, Loading::noticeReceived)
        .on(StoreEvent.Settled.class, TaskReducer::settled)
        .on(StoreEvent.Scanned.class, TaskReducer::scanned)
        .on(StoreEvent.ScanFailed.class, Tickets::scanFailed);
  }

  private static Step start(State state) {
    return Step.of(
        state,
        new Effect.Raise(new TaskEvent.PlaceDue()),
        new Effect.Raise(new TaskEvent.PollDue()),
        new Effect.Raise(new TaskEvent.SweepDue()));
  }

  private static Step settled(State state, StoreEvent.Settled event) {
    return Tickets.settled(state, event).then(s -> Transition.settled(s, event));
  }

  private static Step scanned(State state, StoreEvent.Scanned event) {
    return Tickets.scanned(state, event).then(s -> Loading.scanned(s, event));
  }
}
