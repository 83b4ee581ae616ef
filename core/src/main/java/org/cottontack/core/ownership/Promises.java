package org.cottontack.core.ownership;

import java.util.stream.Stream;
import org.cottontack.core.Effect;
import org.cottontack.core.State;
import org.cottontack.core.Step;
import org.cottontack.core.id.InstanceId;
import org.cottontack.core.peer.PeerEffect;
import org.cottontack.core.peer.PeerEvent;
import org.cottontack.core.peer.PeerMessage;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * Extends ownership by unanimous promises while the store is unavailable. All other members of the
 * epoch promise not to revoke the lease, so no process can take over the share although the lease
 * is not renewed. The time gained in this way is called cover.
 */
final class Promises {

  private Promises() {}

  /** Starts a new promise round if the store is unavailable while a renewal is in flight. */
  static Step askWhenStoreUnavailable(State state) {
    OwnershipState own = state.ownership();
    boolean coverNeeded = state.store().unavailable() && own.renewalSent() >= 0;
    if (!coverNeeded || own.others().isEmpty() || own.joinEpoch() == 0) {
      return Step.of(state);
    }
    PSet<InstanceId> open = HashTreePSet.from(own.others());
    OwnershipState next = own.copy().round(own.round() + 1, state.mono(), open).build();
    PeerMessage ask = new PeerMessage.PromiseAsk(own.assignment().epoch(), next.round());
    Effect[] sends =
        open.stream()
            .flatMap(member -> own.addressOf(member).stream())
            .map(address -> new PeerEffect.Send(address, ask))
            .toArray(Effect[]::new);
    return Step.of(state.with(next), sends);
  }

  static Step received(State state, PeerEvent.Received event) {
    if (event.message() instanceof PeerMessage.PromiseAsk ask) {
      return answerAsk(state, event, ask);
    }
    if (event.message() instanceof PeerMessage.PromiseGiven given) {
      return recordPromise(state, event.from(), given);
    }
    return Step.of(state);
  }

  /** Promises not to revoke the sender's lease; no answer is a refusal. */
  private static Step answerAsk(State state, PeerEvent.Received event, PeerMessage.PromiseAsk ask) {
    OwnershipState own = state.ownership();
    boolean sameEpoch =
        ask.epoch() == own.assignment().epoch()
            && own.joinEpoch() > 0
            && own.assignment().members().containsKey(event.from());
    // A change of members by this process may still take effect, and it may remove the sender.
    if (!sameEpoch || own.reassigning()) {
      return Step.of(state);
    }
    long until = state.mono() + state.settings().leaseMillis() + state.settings().driftMargin();
    OwnershipState next =
        own.copy().promisedUntil(own.promisedUntil().plus(event.from(), until)).build();
    return Step.of(
        state.with(next),
        new PeerEffect.Send(
            event.address(), new PeerMessage.PromiseGiven(ask.epoch(), ask.round())));
  }

  /** Records a promise of the current round; the last outstanding one extends the cover. */
  private static Step recordPromise(State state, InstanceId from, PeerMessage.PromiseGiven given) {
    OwnershipState own = state.ownership();
    boolean current = given.round() == own.round() && given.epoch() == own.assignment().epoch();
    if (!current || !own.pendingPromises().contains(from)) {
      return Step.of(state);
    }
    PSet<InstanceId> open = own.pendingPromises().minus(from);
    OwnershipStateBuilder next = own.copy().pendingPromises(open);
    if (open.isEmpty()) {
      next.cover(coverUntil(state));
    }
    return Step.of(state.with(next.build()));
  }

  /**
   * Returns the end of the cover. It is at most the horizon after the last successful renewal,
   * because that is the time for which a process outside the epoch waits before it revokes.
   */
  private static long coverUntil(State state) {
    OwnershipState own = state.ownership();
    return Stream.of(
            own.roundSent() + state.settings().leaseMillis(),
            own.renewedAt() + state.settings().cutHorizon())
        .min(Long::compare)
        .orElseThrow();
  }
}
