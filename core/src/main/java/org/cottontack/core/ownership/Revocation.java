package org.cottontack.core.ownership;

import org.cottontack.core.Settings;
import org.cottontack.core.State;
import org.cottontack.core.id.InstanceId;

/** Decides when another member provably can no longer act, so that its lease may be revoked. */
final class Revocation {

  private Revocation() {}

  /**
   * Returns whether the member's lease and any cover it may have from promises have ended.
   *
   * <p>Waiting for the end of the lease is not enough. While the store is unavailable, members
   * extend each other's ownership by promises, and this process may not be among those that were
   * asked. One of the following must therefore hold as well: the member needs the promise of this
   * process; another process whose promise the member needs is known to refuse it; or the horizon,
   * which bounds all cover, has passed.
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
    if (now < lease.since() + wait || now < own.promisedUntil().getOrDefault(member, 0L)) {
      return false;
    }
    return mustAskThisInstance(own, lease)
        || anotherRefuses(own, member, lease, now - wait)
        || now >= lease.since() + settings.cutHorizon() + wait;
  }

  /** Returns whether this process listens on the member's address: its former user has ended. */
  private static boolean addressTakenOver(Settings settings, ObservedLease lease) {
    return lease.record() != null && lease.record().address().equals(settings.address());
  }

  /** Returns whether the member has acknowledged an epoch that includes this instance. */
  private static boolean mustAskThisInstance(OwnershipState own, ObservedLease lease) {
    return lease.ackedEpoch() >= own.joinEpoch();
  }

  /**
   * Returns whether another instance, whose promise the member needs, has made none to it since
   * {@code lastPromiseBefore}. Promises are made only within one epoch, and by that time the other
   * instance had acknowledged an epoch that includes this process and that the member has not
   * acknowledged.
   */
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
