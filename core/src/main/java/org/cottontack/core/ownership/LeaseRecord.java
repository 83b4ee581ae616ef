package org.cottontack.core.ownership;

import org.cottontack.core.id.InstanceId;
import org.cottontack.core.store.StoredValue;

/**
 * The lease row of one incarnation of an entry instance. Each renewal increments the row's version.
 * Observers measure the lease with their own clocks, from the time at which they first saw the
 * version, so no clocks have to be synchronized.
 *
 * @param instance the incarnation
 * @param address {@code host:port} at which other entry instances reach it
 * @param ackedEpoch the newest epoch it has acknowledged; it issues no more orders under older ones
 */
public record LeaseRecord(InstanceId instance, String address, long ackedEpoch)
    implements StoredValue {}
