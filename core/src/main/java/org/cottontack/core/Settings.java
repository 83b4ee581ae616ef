package org.cottontack.core;

import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.id.InstanceId;

/**
 * What the core needs to know about its process. All times are milliseconds.
 *
 * @param self this incarnation
 * @param dataCentre the data centre this instance stands in
 * @param address where other entry instances reach this one, {@code host:port}
 * @param leaseMillis how long ownership lasts after a renewal was sent
 * @param driftMargin added by observers to every wait on another process's lease
 * @param cutHorizon how long promises of the other members may stand in for the store
 * @param orderLifetime how long an order may be under way before the receiver must refuse it
 * @param taskLease how long a worker runs a task without word from its owner
 * @param batchGap least time between two writes to the store
 * @param maxQueued most requests held in this process; more are refused at once
 */
public record Settings(
    InstanceId self,
    DataCentreId dataCentre,
    String address,
    long leaseMillis,
    long driftMargin,
    long cutHorizon,
    long orderLifetime,
    long taskLease,
    long batchGap,
    int maxQueued) {

  /** Returns settings with the documented defaults. */
  public static Settings defaults(InstanceId self, DataCentreId dataCentre, String address) {
    return new Settings(
        self, dataCentre, address, 10_000, 1_000, 600_000, 2_000, 30_000, 25, 4_000);
  }
}
