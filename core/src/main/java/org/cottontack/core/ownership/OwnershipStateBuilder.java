package org.cottontack.core.ownership;

import org.cottontack.core.id.InstanceId;
import org.pcollections.PMap;
import org.pcollections.PSet;

/** Builds a modified copy of an {@link OwnershipState}. */
final class OwnershipStateBuilder {

  private OwnershipPhase phase;
  private InstanceId self;
  private long leaseVersion;
  private long renewalSent;
  private long renewedAt;
  private long leaseUntil;
  private long coverUntil;
  private AssignmentRecord assignment;
  private long assignmentVersion;
  private PMap<InstanceId, ObservedLease> peers;
  private long barrierEpoch;
  private long usableFrom;
  private PMap<InstanceId, Long> promisedUntil;
  private boolean reassigning;
  private long round;
  private long roundSent;
  private PSet<InstanceId> pendingPromises;

  OwnershipStateBuilder(OwnershipState from) {
    phase = from.phase();
    self = from.self();
    leaseVersion = from.leaseVersion();
    renewalSent = from.renewalSent();
    renewedAt = from.renewedAt();
    leaseUntil = from.leaseUntil();
    coverUntil = from.coverUntil();
    assignment = from.assignment();
    assignmentVersion = from.assignmentVersion();
    peers = from.peers();
    barrierEpoch = from.barrierEpoch();
    usableFrom = from.usableFrom();
    promisedUntil = from.promisedUntil();
    reassigning = from.reassigning();
    round = from.round();
    roundSent = from.roundSent();
    pendingPromises = from.pendingPromises();
  }

  OwnershipStateBuilder phase(OwnershipPhase value) {
    phase = value;
    return this;
  }

  OwnershipStateBuilder self(InstanceId value) {
    self = value;
    return this;
  }

  OwnershipStateBuilder renewing(long sentAt) {
    renewalSent = sentAt;
    return this;
  }

  OwnershipStateBuilder renewed(long version, long sentAt, long until) {
    leaseVersion = version;
    renewalSent = -1;
    renewedAt = sentAt;
    leaseUntil = until;
    return this;
  }

  OwnershipStateBuilder cover(long until) {
    coverUntil = until;
    return this;
  }

  OwnershipStateBuilder assignment(AssignmentRecord value, long version) {
    assignment = value;
    assignmentVersion = version;
    return this;
  }

  OwnershipStateBuilder peers(PMap<InstanceId, ObservedLease> value) {
    peers = value;
    return this;
  }

  OwnershipStateBuilder barrier(long epoch, long from) {
    barrierEpoch = epoch;
    usableFrom = from;
    return this;
  }

  OwnershipStateBuilder promisedUntil(PMap<InstanceId, Long> value) {
    promisedUntil = value;
    return this;
  }

  OwnershipStateBuilder reassigning(boolean value) {
    reassigning = value;
    return this;
  }

  OwnershipStateBuilder round(long number, long sentAt, PSet<InstanceId> open) {
    round = number;
    roundSent = sentAt;
    pendingPromises = open;
    return this;
  }

  OwnershipStateBuilder pendingPromises(PSet<InstanceId> open) {
    pendingPromises = open;
    return this;
  }

  OwnershipState build() {
    return new OwnershipState(
        phase,
        self,
        leaseVersion,
        renewalSent,
        renewedAt,
        leaseUntil,
        coverUntil,
        assignment,
        assignmentVersion,
        peers,
        barrierEpoch,
        usableFrom,
        promisedUntil,
        reassigning,
        round,
        roundSent,
        pendingPromises);
  }
}
