package org.cottontack.core.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.cottontack.core.Effect;
import org.cottontack.core.Handlers;
import org.cottontack.core.State;
import org.cottontack.core.Step;
import org.cottontack.core.id.InstanceId;
import org.cottontack.core.peer.PeerEvent;
import org.cottontack.core.store.Mutation;
import org.cottontack.core.store.StoreEffect;
import org.cottontack.core.store.StoreEvent;
import org.cottontack.core.store.StoreKey;
import org.cottontack.core.store.StoreRow;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Renews this incarnation's lease, tracks the epochs of its data centre and removes members whose
 * lease has provably ended. See {@code docs/design/1-ownership.md}.
 */
public final class OwnershipReducer {

  /** Number of renewals and observations of the other members per lease duration. */
  private static final int BEATS_PER_LEASE = 5;

  /** Interval at which a leaving process checks whether it can release its share. */
  private static final long DRAIN_MILLIS = 50;

  private OwnershipReducer() {}

  /** Returns the handlers of this part. */
  public static Handlers handlers() {
    return new Handlers()
        .on(OwnershipEvent.Start.class, OwnershipReducer::start)
        .on(OwnershipEvent.Beat.class, OwnershipReducer::beat)
        .on(OwnershipEvent.StopAsked.class, OwnershipReducer::stopAsked)
        .on(OwnershipEvent.DrainCheck.class, OwnershipReducer::drainCheck)
        .on(OwnershipEvent.Drained.class, OwnershipReducer::drained)
        .on(StoreEvent.Settled.class, OwnershipReducer::settled)
        .on(StoreEvent.Scanned.class, OwnershipReducer::scanned)
        .on(PeerEvent.Received.class, Promises::received);
  }

  private static Step start(State state, OwnershipEvent.Start event) {
    OwnershipState own = state.ownership().copy().self(state.settings().self()).build();
    return beat(state.with(own), new OwnershipEvent.Beat());
  }

  private static Step beat(State state, OwnershipEvent.Beat event) {
    if (!state.ownership().phase().renews()) {
      return Step.of(state);
    }
    long wait = state.settings().leaseMillis() / BEATS_PER_LEASE;
    return renew(state)
        .then(Promises::askWhenStoreUnavailable)
        .then(OwnershipReducer::observe)
        .with(new Effect.After(wait, event));
  }

  private static Step renew(State state) {
    OwnershipState own = state.ownership();
    if (own.renewalSent() >= 0) {
      return Step.of(state);
    }
    LeaseRecord record =
        new LeaseRecord(own.self(), state.settings().address(), own.assignment().epoch());
    OwnershipPurpose purpose =
        new OwnershipPurpose.Renewal(own.self(), own.leaseVersion() + 1, state.mono());
    StoreKey key = StoreKey.lease(state.settings().dataCentre(), own.self());
    return Step.of(
        state.with(own.copy().renewing(state.mono()).build()),
        new Effect.Raise(StoreEvent.Submit.of(key, own.leaseVersion(), record, purpose)));
  }

  private static Step observe(State state) {
    String prefix = StoreKey.ownershipPrefix(state.settings().dataCentre());
    return Step.of(state, new StoreEffect.Scan(prefix, new OwnershipPurpose.Observe()));
  }

  private static Step settled(State state, StoreEvent.Settled event) {
    if (event.purpose() instanceof OwnershipPurpose.Renewal renewal) {
      return renewal.self().equals(state.ownership().self())
          ? renewed(state, renewal, event.applied())
          : Step.of(state);
    }
    if (event.purpose() instanceof OwnershipPurpose.Reassign) {
      State next = state.with(state.ownership().copy().reassigning(false).build());
      return observe(next);
    }
    if (event.purpose() instanceof OwnershipPurpose.Leave) {
      return left(state, event.applied());
    }
    return Step.of(state);
  }

  private static Step renewed(State state, OwnershipPurpose.Renewal renewal, boolean applied) {
    if (!applied) {
      return rejoin(state);
    }
    // The lease starts before the write is sent. An observer first sees the new version later than
    // that, so its wait always ends after this process has stopped acting.
    long until = renewal.sentAt() + state.settings().leaseMillis();
    OwnershipState own =
        state.ownership().copy().renewed(renewal.version(), renewal.sentAt(), until).build();
    return Step.of(state.with(own)).then(OwnershipReducer::observe);
  }

  /**
   * Joins again under a new identifier after another process revoked the lease, for example while
   * this one was paused. All resources are released first, so that the process cannot act on its
   * old share.
   */
  private static Step rejoin(State state) {
    OwnershipState old = state.ownership();
    if (old.phase() == OwnershipPhase.LEAVING) {
      return left(state, true);
    }
    InstanceId newSelf = nextIncarnation(old.self());
    OwnershipState own = OwnershipState.EMPTY.copy().self(newSelf).build();
    return Step.of(
            state.with(own),
            new Effect.Note("ownership.lost", old.self().value(), "joins again as " + newSelf),
            new Effect.Raise(new OwnershipEvent.EpochSeen()))
        .then(OwnershipReducer::renew);
  }

  /**
   * Returns the identifier with its generation suffix ({@code ~2}, {@code ~3}, ...) incremented.
   */
  private static InstanceId nextIncarnation(InstanceId old) {
    int separator = old.value().lastIndexOf('~');
    int generation = separator < 0 ? 1 : Integer.parseInt(old.value().substring(separator + 1));
    String baseName = separator < 0 ? old.value() : old.value().substring(0, separator);
    return new InstanceId(baseName + "~" + (generation + 1));
  }

  private static Step scanned(State state, StoreEvent.Scanned event) {
    if (!(event.purpose() instanceof OwnershipPurpose.Observe)) {
      return Step.of(state);
    }
    return applySnapshot(state, event.rows())
        .then(OwnershipReducer::passBarrier)
        .then(OwnershipReducer::propose);
  }

  private static Step applySnapshot(State state, List<StoreRow> rows) {
    OwnershipState before = state.ownership();
    StoreKey key = StoreKey.assignment(state.settings().dataCentre());
    StoreRow row =
        rows.stream().filter(r -> r.key().equals(key)).findFirst().orElse(StoreRow.absent(key));
    if (row.version() < before.assignmentVersion()) {
      return Step.of(state); // delayed response to an earlier read
    }
    AssignmentRecord seen =
        row.value() instanceof AssignmentRecord record ? record : AssignmentRecord.NONE;
    OwnershipStateBuilder next =
        before.copy().assignment(seen, row.version()).peers(observations(state, rows, seen));
    if (before.phase() == OwnershipPhase.JOINING && seen.members().containsKey(before.self())) {
      next.phase(OwnershipPhase.MEMBER);
    }
    if (seen.epoch() == before.assignment().epoch()) {
      return Step.of(state.with(next.build()));
    }
    // Promises are valid only in the epoch in which they were requested, so the cover is dropped. A
    // member that joined since then was not asked; once it sees this instance acknowledge the new
    // epoch, it assumes that its own promise is needed too.
    return Step.of(
            state.with(next.cover(0).build()),
            new Effect.Note("ownership.epoch", "" + seen.epoch(), "members " + seen.members()),
            new Effect.Raise(new OwnershipEvent.EpochSeen()))
        .then(OwnershipReducer::renew);
  }

  private static PMap<InstanceId, ObservedLease> observations(
      State state, List<StoreRow> rows, AssignmentRecord seen) {
    OwnershipState own = state.ownership();
    Map<InstanceId, StoreRow> leases =
        rows.stream()
            .filter(row -> row.value() instanceof LeaseRecord)
            .collect(Collectors.toMap(r -> ((LeaseRecord) r.value()).instance(), r -> r));
    PMap<InstanceId, ObservedLease> peers = HashTreePMap.empty();
    for (InstanceId member : seen.members().keySet()) {
      StoreRow row = leases.get(member);
      LeaseRecord record = row == null ? null : (LeaseRecord) row.value();
      long version = row == null ? 0 : row.version();
      peers =
          peers.plus(
              member, ObservedLease.next(own.peers().get(member), record, version, state.mono()));
    }
    return peers;
  }

  /**
   * Schedules the use of resources gained in the current epoch, once every member has acknowledged
   * it. By then each member has stopped acting under older epochs, and orders still in transit
   * expire within the order lifetime, which is waited out. The acknowledgements and the assignment
   * come from one snapshot, so no acknowledgement can belong to a newer epoch.
   */
  private static Step passBarrier(State state) {
    OwnershipState own = state.ownership();
    long epoch = own.assignment().epoch();
    boolean passed =
        own.others().stream().allMatch(member -> own.peers().get(member).ackedEpoch() >= epoch);
    if (!passed || own.barrierEpoch() >= epoch || own.joinEpoch() == 0) {
      return Step.of(state);
    }
    long wait = state.settings().orderLifetime() + state.settings().driftMargin();
    return Step.of(
        state.with(own.copy().barrier(epoch, state.mono() + wait).build()),
        new Effect.After(wait, new OwnershipEvent.GainsOpen()));
  }

  /**
   * Proposes to add this instance while it joins, otherwise to remove members with ended leases.
   */
  private static Step propose(State state) {
    OwnershipState own = state.ownership();
    if (own.reassigning() || state.mono() >= own.leaseUntil() || !own.phase().renews()) {
      return Step.of(state);
    }
    if (own.phase() == OwnershipPhase.JOINING) {
      return reassign(state, own.assignment().joinedBy(own.self()), List.of());
    }
    List<InstanceId> revoked =
        own.others().stream().filter(member -> Revocation.allowed(state, member)).toList();
    return revoked.isEmpty()
        ? Step.of(state)
        : reassign(state, own.assignment().without(revoked), revoked);
  }

  private static Step reassign(State state, AssignmentRecord next, List<InstanceId> revoked) {
    OwnershipState own = state.ownership();
    StoreKey key = StoreKey.assignment(state.settings().dataCentre());
    List<Mutation> mutations =
        new ArrayList<>(List.of(Mutation.put(key, own.assignmentVersion(), next)));
    revoked.forEach(member -> mutations.add(revocation(state, member)));
    return Step.of(
        state.with(own.copy().reassigning(true).build()),
        new Effect.Note("ownership.propose", "" + next.epoch(), "removes " + revoked),
        new Effect.Raise(new StoreEvent.Submit(mutations, new OwnershipPurpose.Reassign())));
  }

  /**
   * Returns the mutation that removes the lease row at the version that expired, so that the former
   * holder's next renewal fails.
   */
  private static Mutation revocation(State state, InstanceId member) {
    StoreKey key = StoreKey.lease(state.settings().dataCentre(), member);
    long version = state.ownership().peers().get(member).version();
    return version == 0 ? Mutation.check(key, 0) : Mutation.delete(key, version);
  }

  private static Step stopAsked(State state, OwnershipEvent.StopAsked event) {
    return Step.of(
        state.with(state.ownership().withPhase(OwnershipPhase.LEAVING)),
        new Effect.Note("instance.leaving", state.ownership().self().value(), "takes nothing new"),
        new Effect.Raise(
            new OwnershipEvent.DrainCheck(state.mono() + state.settings().orderLifetime())));
  }

  /**
   * Releases the share once all work in flight is finished. Another instance may have forwarded a
   * request that is still in transit. If this process ended before the request arrived, a planned
   * stop would leave its caller in doubt. Waiting until {@code notBefore} lets this process refuse
   * such a request as not run, so that it can be sent to another instance.
   */
  private static Step drainCheck(State state, OwnershipEvent.DrainCheck event) {
    boolean idle =
        state.mono() >= event.notBefore()
            && state.requests().open().isEmpty()
            && state.store().idle();
    return idle
        ? drained(state, new OwnershipEvent.Drained())
        : Step.of(state, new Effect.After(DRAIN_MILLIS, event));
  }

  private static Step drained(State state, OwnershipEvent.Drained event) {
    OwnershipState own = state.ownership();
    if (own.phase() != OwnershipPhase.LEAVING || own.reassigning() || own.renewalSent() >= 0) {
      return Step.of(state, new Effect.After(DRAIN_MILLIS, event));
    }
    if (own.joinEpoch() == 0) {
      return left(state, true);
    }
    StoreKey lease = StoreKey.lease(state.settings().dataCentre(), own.self());
    StoreKey assignment = StoreKey.assignment(state.settings().dataCentre());
    List<Mutation> mutations =
        List.of(
            Mutation.put(
                assignment, own.assignmentVersion(), own.assignment().without(List.of(own.self()))),
            Mutation.delete(lease, own.leaseVersion()));
    return Step.of(
        state.with(own.copy().reassigning(true).build()),
        new Effect.Raise(new StoreEvent.Submit(mutations, new OwnershipPurpose.Leave())));
  }

  private static Step left(State state, boolean applied) {
    OwnershipState own = state.ownership().copy().reassigning(false).build();
    if (!applied) {
      return observe(state.with(own))
          .with(new Effect.After(DRAIN_MILLIS, new OwnershipEvent.Drained()));
    }
    return Step.of(
        state.with(own.withPhase(OwnershipPhase.LEFT)),
        new Effect.Note("instance.left", own.self().value(), "share given back"),
        new Effect.Halt("left"));
  }
}
