package org.cottontack.core.ownership;

import org.cottontack.core.id.InstanceId;
import org.cottontack.core.store.StoredValue;

/**
 * The lease row of one incarnation. Its version moves with each renewal; observers time it by their
 * own clocks from when they first saw the version.
 *
 * @param instance the incarnation
 * @param address where other entry instances reach it
 * @param ackedEpoch the newest epoch it acts under: it issues no order under an older one any more
 */
public record LeaseRecord(InstanceId instance, String address, long ackedEpoch)
    implements StoredValue {}
