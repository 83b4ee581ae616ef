package org.cottontack.core.request;

import org.cottontack.core.Effect;
import org.cottontack.core.Handlers;
import org.cottontack.core.State;
import org.cottontack.core.Step;
import org.cottontack.core.fleet.FleetEvent;
import org.cottontack.core.ownership.OwnershipEvent;
import org.cottontack.core.peer.PeerEvent;
import org.cottontack.core.store.StoreEvent;

/**
 * Handles the events of requests: admission, the claim of a request that is not idempotent, queue,
 * dispatch and one final answer. See {@code docs/design/3-requests.md}.
 */
public final class RequestReducer {

  private RequestReducer() {}

  /** Returns the handlers of request events. */
  public static Handlers handlers() {
    return new Handlers()
        .on(OwnershipEvent.Start.class, (state, event) -> Forwarding.reportDue(state))
        .on(RequestEvent.Arrived.class, RequestReducer::arrived)
        .on(RequestEvent.ClaimAgain.class, Claiming::claimAgain)
        .on(RequestEvent.DeadlineCame.class, RequestReducer::deadlineCame)
        .on(RequestEvent.EndpointAnswered.class, Dispatching::answered)
        .on(RequestEvent.EndpointFailed.class, Dispatching::failed)
        .on(RequestEvent.ReportDue.class, (state, event) -> Forwarding.reportDue(state))
        .on(FleetEvent.SlotsFreed.class, (state, event) -> Dispatching.dispatchWaiting(state))
        .on(OwnershipEvent.EpochSeen.class, (state, event) -> Dispatching.dispatchWaiting(state))
        .on(StoreEvent.Settled.class, Claiming::settled)
        .on(PeerEvent.Received.class, Forwarding::received)
        .on(PeerEvent.Undelivered.class, Forwarding::undelivered)
        .on(PeerEvent.Lost.class, Forwarding::lost);
  }

  private static Step arrived(State state, RequestEvent.Arrived event) {
    return Admission.refusal(state, event)
        .map(answer -> Step.of(state, new RequestEffect.Reply(event.id(), answer)))
        .orElseGet(() -> admit(state, Admission.open(state, event, null)));
  }

  static Step admit(State state, Request request) {
    State next = state.with(state.requests().admit(request));
    Effect deadline =
        new Effect.After(
            Math.max(0, request.deadline() - state.mono()),
            new RequestEvent.DeadlineCame(request.id()));
    Step step = Step.of(next, deadline);
    return request.needsClaim()
        ? step.then(s -> Claiming.claim(s, request))
        : step.then(s -> Dispatching.enqueue(s, request));
  }

  /**
   * Sends the final answer at once when the deadline comes, whatever the phase. Only a request that
   * was never sent to an endpoint or another instance is refused as not run.
   */
  private static Step deadlineCame(State state, RequestEvent.DeadlineCame event) {
    Request request = state.requests().open().get(event.id());
    if (request == null) {
      return Step.of(state);
    }
    return switch (request.phase()) {
      case CLAIMING -> Claiming.abandon(state, request);
      case QUEUED ->
          finish(state, request, Answer.of(Code.DEADLINE_IN_QUEUE, Admission.retryAfter(state)))
              .then(s -> Claiming.release(s, request));
      case AT_ENDPOINT, AT_PEER -> Dispatching.deadline(state, request);
    };
  }

  /** Closes a request and gives its caller the final answer. */
  static Step finish(State state, Request request, Answer answer) {
    Effect reply =
        request.origin() == null
            ? new RequestEffect.Reply(request.id(), answer)
            : Forwarding.reply(request.origin(), answer);
    return Step.of(state.with(state.requests().close(request)), reply);
  }
}
