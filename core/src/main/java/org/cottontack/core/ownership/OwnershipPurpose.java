package org.cottontack.core.ownership;

import org.cottontack.core.id.InstanceId;
import org.cottontack.core.store.Purpose;

/** Purposes of the reads and writes of the ownership part. All are urgent. */
interface OwnershipPurpose extends Purpose {

  @Override
  default boolean urgent() {
    return true;
  }

  /**
   * Renews the lease.
   *
   * @param self the incarnation whose lease is renewed
   * @param version the version of the lease row after the renewal
   * @param sentAt monotonic time at which the renewal was requested; the lease starts here
   */
  record Renewal(InstanceId self, long version, long sentAt) implements OwnershipPurpose {}

  /** Reads the assignment and all leases. */
  record Observe() implements OwnershipPurpose {}

  /** Changes the members. */
  record Reassign() implements OwnershipPurpose {}

  /** Releases the share of this instance. */
  record Leave() implements OwnershipPurpose {}
}
