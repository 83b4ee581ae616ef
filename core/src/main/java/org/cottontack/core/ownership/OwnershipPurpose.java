package org.cottontack.core.ownership;

import org.cottontack.core.id.InstanceId;
import org.cottontack.core.store.Purpose;

/** Why the ownership part writes or reads. */
interface OwnershipPurpose extends Purpose {

  @Override
  default boolean urgent() {
    return true;
  }

  /**
   * Renews the lease.
   *
   * @param self the incarnation it is for
   * @param version the version the row gets
   * @param sentAt when it was asked for; the lease counts from here
   */
  record Renewal(InstanceId self, long version, long sentAt) implements OwnershipPurpose {}

  /** Reads assignment and leases. */
  record Observe() implements OwnershipPurpose {}

  /** Changes the members. */
  record Reassign() implements OwnershipPurpose {}

  /** Gives the share back. */
  record Leave() implements OwnershipPurpose {}
}
