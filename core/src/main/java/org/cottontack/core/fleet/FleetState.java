package org.cottontack.core.fleet;

import java.util.stream.Stream;
import org.cottontack.core.id.EndpointId;
import org.cottontack.core.id.WorkerId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The workers and endpoints of this data centre.
 *
 * @param endpoints the endpoints by identifier
 * @param workers the workers by identifier
 * @param listedAt monotonic time at which the platform's list last arrived, or -1
 */
public record FleetState(
    PMap<EndpointId, EndpointView> endpoints, PMap<WorkerId, WorkerView> workers, long listedAt) {

  /** The state before the first list. */
  public static final FleetState EMPTY =
      new FleetState(HashTreePMap.empty(), HashTreePMap.empty(), -1);

  /** Returns the number of endpoint slots that this process can use at the given time. */
  public int freeSlots(long now) {
    return endpoints.values().stream().mapToInt(endpoint -> endpoint.free(now)).sum();
  }

  /** Returns the total number of slots of the endpoints that this process holds. */
  public int heldSlots() {
    return endpoints.values().stream()
        .filter(EndpointView::held)
        .mapToInt(EndpointView::slots)
        .sum();
  }

  /** Returns the workers that this process owns. */
  public Stream<WorkerView> ownedWorkers() {
    return workers.values().stream().filter(WorkerView::owned);
  }

  /** Returns this state with one endpoint added or replaced. */
  public FleetState with(EndpointView endpoint) {
    return new FleetState(endpoints.plus(endpoint.id(), endpoint), workers, listedAt);
  }

  /** Returns this state with one worker added or replaced. */
  public FleetState with(WorkerView worker) {
    return new FleetState(endpoints, workers.plus(worker.id(), worker), listedAt);
  }

  FleetState withListedAt(long now) {
    return new FleetState(endpoints, workers, now);
  }
}
