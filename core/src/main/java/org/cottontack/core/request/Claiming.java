package org.cottontack.core.request;

import java.util.function.Predicate;
import org.cottontack.core.Effect;
import org.cottontack.core.State;
import org.cottontack.core.Step;
import org.cottontack.core.id.RequestId;
import org.cottontack.core.peer.Payload;
import org.cottontack.core.store.Purpose;
import org.cottontack.core.store.StoreEvent;
import org.cottontack.core.store.StoreRow;

/**
 * Claims non-idempotent requests. A claim is one conditional write that must take effect before the
 * request may be sent, so that of all copies of the request, in all processes, at most one is sent.
 */
final class Claiming {

  /**
   * Maximum size in bytes of an answer that is stored with its claim. A repeated request whose
   * answer is larger gets {@link Code#ANSWER_NOT_KEPT}.
   */
  static final int MAX_KEPT_ANSWER = 8_192;

  private static final long IN_DOUBT_RETRY_MILLIS = 1_000;
  private static final long CONFLICT_POLL_MILLIS = 100;
  private static final int MAX_CONFLICT_POLLS = 4;

  private Claiming() {}

  /**
   * The write of a claim.
   *
   * @param request the request
   * @param version the version that the claim's row gets
   * @param tries attempts that remain while another copy holds the claim
   */
  private record Claim(RequestId request, long version, int tries) implements Purpose {}

  private record Closing(RequestId request) implements Purpose {}

  static Step claim(State state, Request request) {
    return write(state, request.at(Phase.CLAIMING), 0, MAX_CONFLICT_POLLS);
  }

  /**
   * Tries again to claim a request while another copy of it holds the claim. That copy may be about
   * to end or to release its claim. A short wait for its answer is better than an answer "in
   * doubt", after which the caller would have to find out whether the request ran.
   */
  static Step claimAgain(State state, RequestEvent.ClaimAgain event) {
    Request request = state.requests().open().get(event.id());
    return request == null || request.phase() != Phase.CLAIMING
        ? Step.of(state)
        : write(state, request, 0, event.tries());
  }

  private static Step write(State state, Request request, long expectedVersion, int tries) {
    ClaimRecord record = claimOf(state, request);
    Purpose purpose = new Claim(request.id(), expectedVersion + 1, tries);
    return Step.of(
        state.with(state.requests().put(request)),
        new Effect.Raise(
            StoreEvent.Submit.of(request.claimKey(), expectedVersion, record, purpose)));
  }

  private static ClaimRecord claimOf(State state, Request request) {
    return new ClaimRecord(
        ClaimRecord.Phase.CLAIMED, state.settings().self(), request.bodyHash(), 0, null);
  }

  static Step settled(State state, StoreEvent.Settled event) {
    if (!(event.purpose() instanceof Claim claim)) {
      return Step.of(state);
    }
    Request request = state.requests().open().get(claim.request());
    if (request == null) {
      return settledAfterAnswer(state, claim, event.applied());
    }
    return event.applied()
        ? Dispatching.enqueue(state, request.claimed(claim.version()))
        : conflict(state, request, event.conflicts().get(0), claim.tries());
  }

  private static Step settledAfterAnswer(State state, Claim claim, boolean applied) {
    Request request = state.requests().abandoned().get(claim.request());
    if (request == null) {
      return Step.of(state);
    }
    State next = state.with(state.requests().resolved(claim.request()));
    return applied ? release(next, request.claimed(claim.version())) : Step.of(next);
  }

  private static Step conflict(State state, Request request, StoreRow row, int tries) {
    if (!(row.value() instanceof ClaimRecord found)) {
      return write(state, request, row.version(), tries);
    }
    if (!found.bodyHash().equals(request.bodyHash())) {
      return RequestReducer.finish(state, request, Answer.of(Code.KEY_REUSED, 0));
    }
    return switch (found.phase()) {
      case RELEASED -> write(state, request, row.version(), tries);
      case CLAIMED -> tries > 0 ? pollLater(state, request, tries) : inDoubt(state, request);
      case ANSWERED -> RequestReducer.finish(state, request, replay(found));
    };
  }

  private static Step pollLater(State state, Request request, int tries) {
    return Step.of(
        state,
        new Effect.After(
            CONFLICT_POLL_MILLIS, new RequestEvent.ClaimAgain(request.id(), tries - 1)));
  }

  private static Step inDoubt(State state, Request request) {
    return RequestReducer.finish(state, request, Answer.of(Code.IN_DOUBT, IN_DOUBT_RETRY_MILLIS));
  }

  private static Answer replay(ClaimRecord found) {
    return found.answer() == null
        ? Answer.of(Code.ANSWER_NOT_KEPT, 0)
        : Answer.ran(found.endpointStatus(), found.answer());
  }

  /**
   * Abandons a request whose deadline came while its claim was being written. The request was never
   * sent, so it did not run. If its claim takes effect afterwards, the claim is released so that a
   * retry can run.
   */
  static Step abandon(State state, Request request) {
    Predicate<Purpose> ofRequest =
        purpose -> purpose instanceof Claim claim && claim.request().equals(request.id());
    Step step =
        RequestReducer.finish(state, request, Answer.of(Code.STORE_AWAY, IN_DOUBT_RETRY_MILLIS));
    if (state.store().hasWaiting(ofRequest)) {
      return step.then(s -> Step.of(s.with(s.store().withdraw(ofRequest))));
    }
    return state.store().hasInFlight(ofRequest)
        ? step.then(s -> Step.of(s.with(s.requests().abandon(request))))
        : step;
  }

  /** Releases the claim of a request that was never sent. */
  static Step release(State state, Request request) {
    return request.claimVersion() == 0
        ? Step.of(state)
        : close(state, request, claimOf(state, request).released());
  }

  /**
   * Records the answer in the claim, so that a repeated request gets it instead of running again.
   */
  static Step record(State state, Request request, Answer answer) {
    if (request.claimVersion() == 0) {
      return Step.of(state);
    }
    Payload kept = answer.body().size() > MAX_KEPT_ANSWER ? null : answer.body();
    ClaimRecord record = claimOf(state, request).answered(answer.endpointStatus(), kept);
    return close(state, request, record);
  }

  private static Step close(State state, Request request, ClaimRecord record) {
    return Step.of(
        state,
        new Effect.Raise(
            StoreEvent.Submit.of(
                request.claimKey(), request.claimVersion(), record, new Closing(request.id()))));
  }
}
