package org.cottontack.core.fleet;

import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.task.Demand;

/**
 * An instance as the platform's list gives it; the list lags behind reality.
 *
 * @param kind worker or endpoint
 * @param name its identifier
 * @param dataCentre where it stands
 * @param address {@code host:port}
 * @param leaving whether it is to receive no new work
 * @param slots for an endpoint, requests it can run at once
 * @param capacity for a worker, what it can hold
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
