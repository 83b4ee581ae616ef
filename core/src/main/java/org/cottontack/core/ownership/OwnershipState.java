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
 * The state of leases, epochs and promises in this process. Times are monotonic milliseconds.
 *
 * @param phase lifecycle phase of this instance
 * @param self this incarnation; replaced when the process has lost its lease and joins again
 * @param leaseVersion version of its own lease row, 0 before the first renewal
 * @param renewalSent when the renewal in flight was requested, or -1 if there is none
 * @param renewedAt when the last successful renewal was requested, or -1
 * @param leaseUntil end of the lease that the store confirmed
 * @param coverUntil end of the cover that the other members promised
 * @param assignment members and epoch last read
 * @param assignmentVersion version of the assignment row in the store
 * @param peers leases of other incarnations
 * @param barrierEpoch newest epoch that all members have acknowledged, as read from their leases
 * @param usableFrom time from which resources gained in that epoch may be used
 * @param promisedUntil promises made to other members, each with its end
 * @param reassigning whether a change of members by this process is still without an outcome
 * @param round number of the current promise round
 * @param roundSent when that round was started
 * @param pendingPromises members that have not yet promised in this round
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
    PMap<InstanceId, Long> promisedUntil,
    boolean reassigning,
    long round,
    long roundSent,
    PSet<InstanceId> pendingPromises) {

  /** The state of a process that has not started to join. */
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

  /** Returns whether this instance may issue orders now: its lease or its cover is still valid. */
  public boolean mayAct(long now) {
    return assignment.members().containsKey(self) && now < actsUntil();
  }

  /** Returns the monotonic time at which this instance must stop issuing orders. */
  public long actsUntil() {
    return Math.max(leaseUntil, coverUntil);
  }

  /** Returns whether this instance owns the resource in the epoch last read. */
  public boolean owns(String resource) {
    return assignment.members().containsKey(self)
        && Rendezvous.owner(resource, assignment.members().keySet())
            .filter(self::equals)
            .isPresent();
  }

  /** Returns whether resources gained in the current epoch may be used now. */
  public boolean gainsOpen(long now) {
    return barrierEpoch == assignment.epoch() && now >= usableFrom && mayAct(now);
  }

  /** Returns the other members of the epoch last read. */
  public Set<InstanceId> others() {
    return assignment.members().keySet().stream()
        .filter(member -> !member.equals(self))
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns the address of another incarnation, if its lease row has been read. */
  public Optional<String> addressOf(InstanceId instance) {
    return Optional.ofNullable(peers.get(instance))
        .map(ObservedLease::record)
        .map(LeaseRecord::address);
  }

  /** Returns the epoch in which this incarnation joined, or 0 if it is not a member. */
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
