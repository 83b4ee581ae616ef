package org.cottontack.core.request;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cottontack.core.Effect;
import org.cottontack.core.State;
import org.cottontack.core.Step;
import org.cottontack.core.id.AttemptId;
import org.cottontack.core.id.InstanceId;
import org.cottontack.core.id.RequestId;
import org.cottontack.core.ownership.OwnershipPhase;
import org.cottontack.core.peer.PeerEffect;
import org.cottontack.core.peer.PeerEvent;
import org.cottontack.core.peer.PeerMessage;
import org.pcollections.PMap;

/** Forwards requests to other entry instances of the data centre that have free slots. */
final class Forwarding {

  private static final long REPORT_MILLIS = 100;
  private static final long IDLE_REPORT_MILLIS = 1_000;
  private static final long MAX_RETURN_MARGIN_MILLIS = 200;
  private static final long RETURN_MARGIN_DIVISOR = 10;

  /** First number of forwarded requests; keeps them distinct from requests of own callers. */
  private static final long FORWARDED_BASE = 1L << 62;

  private Forwarding() {}

  /**
   * Reports the free slots to the other entry instances: at the next check after a change, and
   * otherwise rarely, so that an idle instance sends few messages.
   */
  static Step reportDue(State state) {
    PeerLoad lastReport = state.requests().reported();
    int slots = slotsToReport(state);
    boolean due =
        slots != lastReport.freeSlots() || state.mono() - lastReport.at() >= IDLE_REPORT_MILLIS;
    Step step = due ? report(state, slots) : Step.of(state);
    return step.with(new Effect.After(REPORT_MILLIS, new RequestEvent.ReportDue()));
  }

  private static Step report(State state, int slots) {
    PeerMessage report = new PeerMessage.Report(slots, state.table().version());
    Effect[] sends =
        state.ownership().others().stream()
            .flatMap(peer -> state.ownership().addressOf(peer).stream())
            .map(address -> new PeerEffect.Send(address, report))
            .toArray(Effect[]::new);
    PeerLoad lastReport = new PeerLoad("", slots, state.mono());
    return Step.of(state.with(state.requests().withReported(lastReport)), sends);
  }

  private static int slotsToReport(State state) {
    boolean accepts =
        state.ownership().phase() == OwnershipPhase.MEMBER
            && state.ownership().mayAct(state.mono());
    return accepts ? state.fleet().freeSlots(state.mono()) : 0;
  }

  /** Forwards a request, unless it was already forwarded: it must not circle between instances. */
  static Optional<Step> forward(State state, Request request) {
    return request.origin() != null
        ? Optional.empty()
        : peerWithMostFreeSlots(state).map(entry -> forwardTo(state, request, entry));
  }

  private static Optional<Map.Entry<InstanceId, PeerLoad>> peerWithMostFreeSlots(State state) {
    return state.requests().peers().entrySet().stream()
        .filter(entry -> entry.getValue().usable(state.mono()))
        .filter(entry -> state.ownership().others().contains(entry.getKey()))
        .max(
            Comparator.<Map.Entry<InstanceId, PeerLoad>>comparingInt(
                    entry -> entry.getValue().freeSlots())
                .thenComparing(Map.Entry::getKey));
  }

  private static Step forwardTo(
      State state, Request request, Map.Entry<InstanceId, PeerLoad> peer) {
    AttemptId attempt = Dispatching.nextAttempt(state);
    String address = peer.getValue().address();
    Request sent =
        request.sentBy(Phase.AT_PEER, new Request.Sent(attempt, null, address, state.mono()));
    PMap<InstanceId, PeerLoad> peers =
        state.requests().peers().plus(peer.getKey(), peer.getValue().withOneSlotUsed());
    PeerMessage message =
        new PeerMessage.Forward(
            attempt,
            request.caller(),
            request.row().name(),
            request.key(),
            millisLeftForPeer(request.deadline() - state.mono()),
            request.body());
    return Step.of(
        state.with(Dispatching.dequeueAndCharge(state, request).sent(sent).with(peers)),
        new PeerEffect.Send(address, message));
  }

  /**
   * Returns the time until the deadline of the other instance. It is shorter than the time left
   * here, so that a refusal because of the deadline arrives before the deadline of this instance.
   */
  private static long millisLeftForPeer(long left) {
    return left - Math.min(MAX_RETURN_MARGIN_MILLIS, left / RETURN_MARGIN_DIVISOR);
  }

  static Step received(State state, PeerEvent.Received event) {
    if (event.message() instanceof PeerMessage.Report report) {
      return reported(state, event, report);
    }
    if (event.message() instanceof PeerMessage.Forward forward) {
      return forwardReceived(state, event.address(), forward);
    }
    if (event.message() instanceof PeerMessage.Forwarded answer) {
      return answered(state, answer);
    }
    return Step.of(state);
  }

  private static Step reported(State state, PeerEvent.Received event, PeerMessage.Report report) {
    PeerLoad load = new PeerLoad(event.address(), report.freeSlots(), state.mono());
    PMap<InstanceId, PeerLoad> peers = state.requests().peers().plus(event.from(), load);
    return Dispatching.dispatchWaiting(state.with(state.requests().with(peers)));
  }

  private static Step forwardReceived(State state, String from, PeerMessage.Forward forward) {
    RequestId id = new RequestId(FORWARDED_BASE + state.requests().nextAttempt());
    Request.Origin origin = new Request.Origin(from, forward.attempt());
    RequestEvent.Arrived arrived =
        new RequestEvent.Arrived(
            id,
            forward.caller(),
            forward.row(),
            forward.key(),
            "",
            forward.millisLeft() > 0 ? forward.millisLeft() : -1,
            forward.body());
    State next = state.with(state.requests().withNextAttempt());
    return Admission.refusal(next, arrived)
        .map(answer -> Step.of(next, reply(origin, answer)))
        .orElseGet(() -> RequestReducer.admit(next, Admission.open(next, arrived, origin)));
  }

  /** Returns the message that sends the final answer of a forwarded request to its origin. */
  static Effect reply(Request.Origin origin, Answer answer) {
    return new PeerEffect.Send(
        origin.address(),
        new PeerMessage.Forwarded(
            origin.attempt(),
            answer.code().word(),
            answer.retryAfterMillis(),
            answer.endpointStatus(),
            answer.body()));
  }

  private static Step answered(State state, PeerMessage.Forwarded message) {
    Optional<Request> request = state.requests().openRequestOf(message.attempt());
    Optional<Code> code = Code.forWord(message.code());
    if (code.isEmpty()) {
      return Step.of(state);
    }
    Answer answer =
        new Answer(
            code.get(), message.retryAfterMillis(), message.endpointStatus(), message.body());
    return request
        .map(r -> resolve(state, r, answer))
        .orElseGet(() -> resolveLate(state, message.attempt(), answer));
  }

  private static Step resolve(State state, Request request, Answer answer) {
    return switch (answer.code().ran()) {
      case RAN ->
          RequestReducer.finish(state, request, answer)
              .then(s -> Claiming.record(s, request, answer));
      case UNKNOWN -> inDoubt(state, request, answer);
      case NOT_RUN ->
          Dispatching.afterFailure(markFull(forget(state, request), request), request, false);
    };
  }

  /** Sends nothing more to an instance that refused a request until it reports again. */
  private static State markFull(State state, Request request) {
    PMap<InstanceId, PeerLoad> peers = state.requests().peers();
    for (Map.Entry<InstanceId, PeerLoad> entry : peers.entrySet()) {
      PeerLoad load = entry.getValue();
      boolean refused = load.address().equals(request.sent().peer());
      peers = refused ? peers.plus(entry.getKey(), load.withoutFreeSlots()) : peers;
    }
    return state.with(state.requests().with(peers));
  }

  private static Step inDoubt(State state, Request request, Answer answer) {
    Step step = RequestReducer.finish(state, request, answer);
    return request.row().idempotent()
        ? step
        : step.then(s -> Step.of(s.with(state.requests().closeAsAbandoned(request))));
  }

  private static Step resolveLate(State state, AttemptId attempt, Answer answer) {
    return answer.code().ran() == Ran.RAN
        ? Dispatching.answeredLate(state, attempt, answer)
        : Step.of(state);
  }

  private static State forget(State state, Request request) {
    return state.with(state.requests().forget(request.sent().attempt()));
  }

  /** Retries a forwarded request that was not delivered; no byte of it left this process. */
  static Step undelivered(State state, PeerEvent.Undelivered event) {
    return event.message() instanceof PeerMessage.Forward forward
        ? state
            .requests()
            .openRequestOf(forward.attempt())
            .map(r -> Dispatching.afterFailure(forget(state, r), r, false))
            .orElseGet(() -> Step.of(state))
        : Step.of(state);
  }

  /**
   * Handles a lost connection to another instance. Requests that were forwarded to it and have no
   * answer yet may have run.
   */
  static Step lost(State state, PeerEvent.Lost event) {
    List<Request> sentToPeer =
        state.requests().open().values().stream()
            .filter(request -> request.phase() == Phase.AT_PEER)
            .filter(request -> event.address().equals(request.sent().peer()))
            .toList();
    State kept = state.with(state.requests().dropAbandonedAt(event.address()));
    return Step.fold(kept, sentToPeer, (s, r) -> Dispatching.afterFailure(forget(s, r), r, true));
  }
}
