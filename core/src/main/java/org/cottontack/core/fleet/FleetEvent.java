package org.cottontack.core.fleet;

import java.util.List;
import java.util.Set;
import org.cottontack.core.Event;
import org.cottontack.core.id.AttemptId;
import org.cottontack.core.id.EndpointId;
import org.cottontack.core.id.WorkerId;

/** Events of workers and endpoints. */
public interface FleetEvent extends Event {

  /** Time to ask for the platform's list. */
  record ListDue() implements FleetEvent {}

  /** Time to ask endpoints whose contents are not certain. */
  record ProbeDue() implements FleetEvent {}

  /**
   * The platform's list.
   *
   * @param members all instances that run work, of all data centres
   */
  record Listed(List<MemberInfo> members) implements FleetEvent {}

  /**
   * An endpoint told what it runs.
   *
   * @param endpoint the endpoint
   * @param askedAt monotonic time at which it was asked
   * @param running the attempts it runs
   */
  record EndpointReported(EndpointId endpoint, long askedAt, Set<AttemptId> running)
      implements FleetEvent {}

  /** Endpoint slots became free or were gained. */
  record SlotsFreed() implements FleetEvent {}

  /**
   * A worker became owned; what it should run has to be read from the store.
   *
   * @param worker the worker
   */
  record WorkerGained(WorkerId worker) implements FleetEvent {}

  /**
   * A worker is no longer owned.
   *
   * @param worker the worker
   */
  record WorkerReleased(WorkerId worker) implements FleetEvent {}
}
