package org.cottontack.core.fleet;

import java.util.List;
import java.util.Set;
import org.cottontack.core.Event;
import org.cottontack.core.id.AttemptId;
import org.cottontack.core.id.EndpointId;
import org.cottontack.core.id.WorkerId;

/** Events of workers and endpoints. */
public interface FleetEvent extends Event {

  /** Timer: requests the platform's list of instances. */
  record ListDue() implements FleetEvent {}

  /** Timer: probes the endpoints whose running attempts are not exactly known to this process. */
  record ProbeDue() implements FleetEvent {}

  /**
   * The platform's list arrived.
   *
   * @param members all workers and endpoints of all data centres
   */
  record Listed(List<MemberInfo> members) implements FleetEvent {}

  /**
   * An endpoint reported which attempts it runs.
   *
   * @param endpoint the endpoint
   * @param askedAt monotonic time at which the report was requested
   * @param running the attempts it runs
   */
  record EndpointReported(EndpointId endpoint, long askedAt, Set<AttemptId> running)
      implements FleetEvent {}

  /** Endpoint slots became free, or an endpoint was gained. */
  record SlotsFreed() implements FleetEvent {}

  /**
   * This process became the owner of a worker and must read the worker's tasks from the store.
   *
   * @param worker the worker
   */
  record WorkerGained(WorkerId worker) implements FleetEvent {}

  /**
   * This process no longer owns a worker.
   *
   * @param worker the worker
   */
  record WorkerReleased(WorkerId worker) implements FleetEvent {}
}
