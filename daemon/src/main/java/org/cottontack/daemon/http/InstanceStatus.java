package org.cottontack.daemon.http;

import java.util.List;
import java.util.Locale;
import org.cottontack.core.State;
import org.cottontack.core.fleet.EndpointView;
import org.cottontack.core.fleet.WorkerView;
import org.cottontack.core.ownership.OwnershipState;

/**
 * The status of an entry instance.
 *
 * @param instance its incarnation
 * @param dataCentre its data centre
 * @param phase joining, member, leaving or left
 * @param epoch the last known epoch of the membership
 * @param members incarnations of its data centre
 * @param mayAct whether its lease or cover is valid now
 * @param actsForMillis how long its lease or cover stays valid without another renewal
 * @param storeUnanswered number of consecutive store transactions without an answer
 * @param tableVersion version of the table in force
 * @param tableAgeMillis time since the store last confirmed that version, or -1 if it never has
 * @param endpointsHeld endpoints to which it dispatches work
 * @param slotsFree free slots of those endpoints
 * @param workersOwned workers to which it assigns tasks
 * @param requestsOpen requests without a final answer
 * @param tasksKnown tasks that it manages
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

  /** Returns the status of an instance in the given state. */
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
