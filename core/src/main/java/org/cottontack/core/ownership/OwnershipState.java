package org.cottontack.core.ownership;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cottontack.core.id.InstanceId;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * Leases, epochs and promises as this process knows them. Times are monotonic milliseconds.
 *
 * @param phase where this instance stands
 * @param self this incarnation; changes when a lost lease makes the process join anew
 * @param leaseVersion version of its own lease row, 0 before the first
 * @param renewalSent when the renewal under way was asked for, or -1
 * @param renewedAt when the last renewal that took effect was asked for, or -1
 * @param leaseUntil end of the lease the store confirmed
 * @param coverUntil end of the cover that the other members promised
 * @param assignment members and epoch last seen
 * @param assignmentVersion its version in the store
 * @param peers leases of other incarnations
 * @param barrierEpoch newest epoch that all members were seen to have acknowledged
 * @param usableFrom when resources gained in that epoch may be used
 * @param given promises made to others, each with its end
 * @param reassigning whether a change of members by this process has no outcome yet
 * @param round number of the promise round
 * @param roundSent when the round was started
 * @param roundOpen members that have not yet promised in this round
 */
public record OwnershipState(
    OwnershipPhase phase,
    InstanceId self,
    long leaseVersion,
    long renewalSent,
    long renewedAt,
    long leaseUntil,
    long coverUntil,
    AssignmentRecord assignment,
    long assignmentVersion,
    PMap<InstanceId, ObservedLease> peers,
    long barrierEpoch,
    long usableFrom,
    PMap<InstanceId, Long> given,
    boolean reassigning,
    long round,
    long roundSent,
    PSet<InstanceId> roundOpen) {

  /** A process that has not started to join. */
  public static final OwnershipState EMPTY =
      new OwnershipState(
          OwnershipPhase.JOINING,
          new InstanceId("unset"),
          0,
          -1,
          -1,
          0,
          0,
          AssignmentRecord.NONE,
          0,
          HashTreePMap.empty(),
          0,
          0,
          HashTreePMap.empty(),
          false,
          0,
          0,
          HashTreePSet.empty());

  /** Returns whether this instance may give orders now: its lease or its cover still holds. */
  public boolean mayAct(long now) {
    return assignment.members().containsKey(self) && now < actsUntil();
  }

  /** Returns the monotonic time at which this instance must stop giving orders. */
  public long actsUntil() {
    return Math.max(leaseUntil, coverUntil);
  }

  /** Returns whether the members give this resource to this instance in the epoch last seen. */
  public boolean owns(String resource) {
    return assignment.members().containsKey(self)
        && Rendezvous.owner(resource, assignment.members().keySet())
            .filter(self::equals)
            .isPresent();
  }

  /** Returns whether resources gained in the current epoch may be taken up now. */
  public boolean gainsOpen(long now) {
    return barrierEpoch == assignment.epoch() && now >= usableFrom && mayAct(now);
  }

  /** Returns the other members of the epoch last seen. */
  public Set<InstanceId> others() {
    return assignment.members().keySet().stream()
        .filter(member -> !member.equals(self))
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns the address of another incarnation, if its lease row was seen. */
  public Optional<String> addressOf(InstanceId instance) {
    return Optional.ofNullable(peers.get(instance))
        .map(ObservedLease::record)
        .map(LeaseRecord::address);
  }

  /** Returns the epoch in which this incarnation joined, or 0. */
  long joinEpoch() {
    return assignment.members().getOrDefault(self, 0L);
  }

  OwnershipState withPhase(OwnershipPhase value) {
    return copy().phase(value).build();
  }

  OwnershipStateBuilder copy() {
    return new OwnershipStateBuilder(this);
  }
}
