package org.cottontack.core.fleet;

import org.cottontack.core.Effect;
import org.cottontack.core.id.EndpointId;

/** Requests of the core for information about workers and endpoints. */
public interface FleetEffect extends Effect {

  /** Requests the platform's list of instances. */
  record FetchList() implements FleetEffect {}

  /**
   * Asks an endpoint which attempts it runs.
   *
   * @param endpoint the endpoint
   * @param address {@code host:port}
   * @param askedAt monotonic time of the request, returned with the report
   */
  record ProbeEndpoint(EndpointId endpoint, String address, long askedAt) implements FleetEffect {}
}
