package org.cottontack.core;

import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.id.InstanceId;

/**
 * The settings of a process that the core uses. All times are in milliseconds.
 *
 * @param self this incarnation of the process
 * @param dataCentre the data centre of this instance
 * @param address where other entry instances reach this one, {@code host:port}
 * @param leaseMillis how long ownership lasts after a renewal was sent
 * @param driftMargin margin for clock drift, which observers add to every wait for another
 *     process's lease to end
 * @param cutHorizon how long promises of the other members may replace a renewal in the store
 * @param orderLifetime how long an order may be in flight before the receiver must refuse it
 * @param taskLease how long a worker runs a task without a message from the task's owner
 * @param batchGap minimum time between two writes to the store
 * @param maxQueued maximum number of requests held in this process; further requests are refused
 *     immediately
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
