package org.cottontack.core.fleet;

import java.util.stream.Stream;
import org.cottontack.core.id.EndpointId;
import org.cottontack.core.id.WorkerId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Workers and endpoints of this data centre.
 *
 * @param endpoints by identifier
 * @param workers by identifier
 * @param listedAt monotonic time of the platform's last list, or -1
 */
public record FleetState(
    PMap<EndpointId, EndpointView> endpoints, PMap<WorkerId, WorkerView> workers, long listedAt) {

  /** Nothing listed yet. */
  public static final FleetState EMPTY =
      new FleetState(HashTreePMap.empty(), HashTreePMap.empty(), -1);

  /** Returns endpoint slots this process could use at this time. */
  public int freeSlots(long now) {
    return endpoints.values().stream().mapToInt(endpoint -> endpoint.free(now)).sum();
  }

  /** Returns endpoint slots of all endpoints this process holds. */
  public int heldSlots() {
    return endpoints.values().stream()
        .filter(EndpointView::held)
        .mapToInt(EndpointView::slots)
        .sum();
  }

  /** Returns the workers this process owns. */
  public Stream<WorkerView> ownedWorkers() {
    return workers.values().stream().filter(WorkerView::owned);
  }

  /** Returns this state with one endpoint changed. */
  public FleetState with(EndpointView endpoint) {
    return new FleetState(endpoints.plus(endpoint.id(), endpoint), workers, listedAt);
  }

  /** Returns this state with one worker changed. */
  public FleetState with(WorkerView worker) {
    return new FleetState(endpoints, workers.plus(worker.id(), worker), listedAt);
  }

  FleetState withListedAt(long now) {
    return new FleetState(endpoints, workers, now);
  }
}
