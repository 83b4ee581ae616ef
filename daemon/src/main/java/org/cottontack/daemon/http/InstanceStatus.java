package org.cottontack.daemon.http;

import java.util.List;
import java.util.Locale;
import org.cottontack.core.State;
import org.cottontack.core.fleet.EndpointView;
import org.cottontack.core.fleet.WorkerView;
import org.cottontack.core.ownership.OwnershipState;

/**
 * How one entry instance is doing.
 *
 * @param instance its incarnation
 * @param dataCentre its data centre
 * @param phase joining, member, leaving or left
 * @param epoch members' epoch last seen
 * @param members incarnations of its data centre
 * @param mayAct whether its lease or cover holds now
 * @param actsForMillis how long it holds without another renewal
 * @param storeUnanswered store transactions without an answer in a row
 * @param tableVersion version in force
 * @param tableAgeMillis time since the store last confirmed it
 * @param endpointsHeld endpoints it gives work to
 * @param slotsFree of their slots
 * @param workersOwned workers it gives tasks to
 * @param requestsOpen requests without a final answer
 * @param tasksKnown tasks it looks after
 */
public record InstanceStatus(
    String instance,
    String dataCentre,
    String phase,
    long epoch,
    List<String> members,
    boolean mayAct,
    long actsForMillis,
    int storeUnanswered,
    long tableVersion,
    long tableAgeMillis,
    List<String> endpointsHeld,
    int slotsFree,
    List<String> workersOwned,
    int requestsOpen,
    int tasksKnown) {

  /** Returns the status that a state shows. */
  public static InstanceStatus of(State state) {
    OwnershipState own = state.ownership();
    long now = state.mono();
    return new InstanceStatus(
        own.self().value(),
        state.settings().dataCentre().value(),
        own.phase().name().toLowerCase(Locale.ROOT),
        own.assignment().epoch(),
        own.assignment().members().keySet().stream().map(Object::toString).sorted().toList(),
        own.mayAct(now),
        Math.max(0, own.actsUntil() - now),
        state.store().failures(),
        state.table().version(),
        state.table().confirmedAt() < 0 ? -1 : now - state.table().confirmedAt(),
        state.fleet().endpoints().values().stream()
            .filter(EndpointView::held)
            .map(e -> e.id().value())
            .sorted()
            .toList(),
        state.fleet().freeSlots(now),
        state.fleet().workers().values().stream()
            .filter(WorkerView::owned)
            .map(w -> w.id().value())
            .sorted()
            .toList(),
        state.requests().open().size(),
        state.tasks().tasks().size());
  }
}
