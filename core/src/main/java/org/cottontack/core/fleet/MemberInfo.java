package org.cottontack.core.fleet;

import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.task.Demand;

/**
 * An entry of the platform's list of instances. The list may be out of date.
 *
 * @param kind worker or endpoint
 * @param name its identifier
 * @param dataCentre the data centre of the instance
 * @param address {@code host:port}
 * @param leaving whether it must receive no new work
 * @param slots for an endpoint, the number of requests that it can run concurrently
 * @param capacity for a worker, its capacity for tasks
 * @param rack for a worker, its rack
 */
public record MemberInfo(
    MemberKind kind,
    String name,
    DataCentreId dataCentre,
    String address,
    boolean leaving,
    int slots,
    Demand capacity,
    String rack) {}
