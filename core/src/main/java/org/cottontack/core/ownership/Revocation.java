package org.cottontack.core.ownership;

import org.cottontack.core.Settings;
import org.cottontack.core.State;
import org.cottontack.core.id.InstanceId;

/** Decides when another member can provably act no more. */
final class Revocation {

  private Revocation() {}

  /**
   * Returns whether the member's lease and every cover it may have from promises have ended.
   *
   * <p>A wait on the lease alone is not enough: while the store is away, members cover each other
   * by promises, and this process may not be among those that were asked. So it also needs either
   * to be one whose promise the member must ask, or to know one that refuses, or to wait out the
   * horizon that bounds all cover.
   */
  static boolean allowed(State state, InstanceId member) {
    OwnershipState own = state.ownership();
    Settings settings = state.settings();
    ObservedLease lease = own.peers().get(member);
    if (addressTakenOver(settings, lease)) {
      return true;
    }
    long now = state.mono();
    long wait = settings.leaseMillis() + settings.driftMargin();
    if (now < lease.since() + wait || now < own.given().getOrDefault(member, 0L)) {
      return false;
    }
    return mustAskThisInstance(own, lease)
        || anotherRefuses(own, member, lease, now - wait)
        || now >= lease.since() + settings.cutHorizon() + wait;
  }

  /** This process listens on the member's address, so the process that did so before is gone. */
  private static boolean addressTakenOver(Settings settings, ObservedLease lease) {
    return lease.record() != null && lease.record().address().equals(settings.address());
  }

  private static boolean mustAskThisInstance(OwnershipState own, ObservedLease lease) {
    return lease.ackedEpoch() >= own.joinEpoch();
  }

  private static boolean anotherRefuses(
      OwnershipState own, InstanceId member, ObservedLease lease, long lastPromiseBefore) {
    return own.others().stream()
        .filter(other -> !other.equals(member))
        .filter(other -> own.assignment().members().get(other) <= lease.ackedEpoch())
        .map(own.peers()::get)
        .filter(other -> other.ackedEpoch() >= own.joinEpoch())
        .anyMatch(other -> other.ackSince() <= lastPromiseBefore);
  }
}
