package org.cottontack.core.fleet;

import org.cottontack.core.Effect;
import org.cottontack.core.id.EndpointId;

/** What the core asks about workers and endpoints. */
public interface FleetEffect extends Effect {

  /** Asks the platform for its list of instances. */
  record FetchList() implements FleetEffect {}

  /**
   * Asks an endpoint which attempts it runs.
   *
   * @param endpoint the endpoint
   * @param address {@code host:port}
   * @param askedAt monotonic time of asking, comes back with the report
   */
  record ProbeEndpoint(EndpointId endpoint, String address, long askedAt) implements FleetEffect {}
}
