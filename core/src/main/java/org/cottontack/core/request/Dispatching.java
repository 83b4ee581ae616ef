package org.cottontack.core.request;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cottontack.core.State;
import org.cottontack.core.Step;
import org.cottontack.core.fleet.EndpointView;
import org.cottontack.core.id.AttemptId;
import org.cottontack.core.id.RowName;

/** Gives waiting requests to free slots and turns what comes back into final answers. */
final class Dispatching {

  private static final long DOUBT_RETRY_MILLIS = 1_000;
  private static final int FIRST_SERVER_FAULT = 500;
  private static final double MAX_EJECTED_SHARE = 0.5;

  private Dispatching() {}

  static Step enqueue(State state, Request request) {
    RequestState requests = state.requests();
    RowName row = request.row().name();
    double level = requests.nextRow().map(next -> requests.share(next).served()).orElse(0.0);
    RowShare share = requests.share(row).enqueue(request.id(), level);
    State next = state.with(requests.put(request.at(Phase.QUEUED)).with(row, share));
    return dispatchWaiting(next);
  }

  private static Step requeue(State state, Request request) {
    RowName row = request.row().name();
    RowShare share = state.requests().share(row).enqueueAgain(request.id());
    RequestState next = state.requests().put(request.at(Phase.QUEUED)).with(row, share);
    return dispatchWaiting(state.with(next));
  }

  /** Hands out free slots, the row furthest behind its weight first, until none is left. */
  static Step dispatchWaiting(State state) {
    Step step = Step.of(state);
    while (true) {
      Optional<Step> one = dispatchOne(step.state());
      if (one.isEmpty()) {
        return step;
      }
      Step next = one.get();
      step = step.then(s -> next);
    }
  }

  private static Optional<Step> dispatchOne(State state) {
    RequestState requests = state.requests();
    return requests
        .nextRow()
        .map(requests::share)
        .map(share -> requests.open().get(share.waiting().first()))
        .flatMap(request -> place(state, request));
  }

  /**
   * A handed-over request cannot be handed on. Where no endpoint is left for it, it goes back at
   * once as not run: waiting here until its deadline would leave its caller in doubt, because the
   * instance that sent it cannot tell waiting from running.
   */
  private static Optional<Step> place(State state, Request request) {
    boolean usable = state.ownership().mayAct(state.mono()) && state.fleet().heldSlots() > 0;
    if (request.origin() != null && !usable) {
      Answer back = Answer.of(Code.NO_ENDPOINT, DOUBT_RETRY_MILLIS);
      return Optional.of(RequestReducer.finish(state, request, back));
    }
    if (!state.ownership().mayAct(state.mono())) {
      return Forwarding.forward(state, request);
    }
    return choose(state)
        .map(endpoint -> Optional.of(send(state, request, endpoint)))
        .orElseGet(() -> Forwarding.forward(state, request));
  }

  /** This process alone uses the slots of endpoints it holds, so its own count is exact. */
  private static Optional<EndpointView> choose(State state) {
    return state.fleet().endpoints().values().stream()
        .filter(endpoint -> endpoint.free(state.mono()) > 0)
        .min(Comparator.comparingDouble(EndpointView::cost).thenComparing(EndpointView::id));
  }

  private static Step send(State state, Request request, EndpointView endpoint) {
    AttemptId attempt = nextAttempt(state);
    Request sent =
        request.sentBy(
            Phase.AT_ENDPOINT, new Request.Sent(attempt, endpoint.id(), null, state.mono()));
    State next = state.with(state.fleet().with(endpoint.started(attempt, state.mono())));
    next = next.with(taken(next, request).sent(sent));
    return Step.of(
        next,
        new RequestEffect.Dispatch(
            attempt,
            endpoint.id(),
            endpoint.address(),
            request.row().name(),
            request.deadline() - state.mono(),
            state.ownership().actsUntil(),
            request.body()));
  }

  static AttemptId nextAttempt(State state) {
    return new AttemptId(state.ownership().self() + "-" + state.requests().nextAttempt());
  }

  /** Takes a request out of its row's queue and charges the row. */
  static RequestState taken(State state, Request request) {
    RowName row = request.row().name();
    RowShare share =
        state
            .requests()
            .share(row)
            .dequeue(request.id())
            .charge(Admission.weight(state, request.row()));
    return state.requests().with(row, share);
  }

  static Step answered(State state, RequestEvent.EndpointAnswered event) {
    boolean good = event.status() < FIRST_SERVER_FAULT;
    Optional<Request> request = state.requests().of(event.attempt());
    State next = freeSlot(state, event.attempt(), good);
    Answer answer = Answer.ran(event.status(), event.body());
    if (request.isEmpty()) {
      return late(next, event.attempt(), answer).then(Dispatching::dispatchWaiting);
    }
    return measured(next, request.get())
        .then(s -> RequestReducer.finish(s, request.get(), answer))
        .then(s -> Claiming.record(s, request.get(), answer))
        .then(Dispatching::dispatchWaiting);
  }

  private static State freeSlot(State state, AttemptId attempt, boolean good) {
    return holder(state, attempt)
        .map(
            endpoint -> {
              long millis = state.mono() - endpoint.busy().get(attempt);
              EndpointView freed = endpoint.answered(attempt, millis, good);
              return state.with(state.fleet().with(good ? freed : countFailure(state, freed)));
            })
        .orElse(state);
  }

  private static Optional<EndpointView> holder(State state, AttemptId attempt) {
    return state.fleet().endpoints().values().stream()
        .filter(endpoint -> endpoint.busy().containsKey(attempt))
        .findFirst();
  }

  private static Step measured(State state, Request request) {
    RowName row = request.row().name();
    RowShare share = state.requests().share(row).measured(state.mono() - request.sent().at());
    return Step.of(state.with(state.requests().with(row, share)));
  }

  /** At most half of the endpoints are ejected, or a fault of the callers would eject them all. */
  private static EndpointView countFailure(State state, EndpointView endpoint) {
    List<EndpointView> held =
        state.fleet().endpoints().values().stream().filter(EndpointView::held).toList();
    long ejected = held.stream().filter(e -> e.ejectedUntil() > state.mono()).count();
    return ejected + 1 > held.size() * MAX_EJECTED_SHARE ? endpoint : endpoint.failed(state.mono());
  }

  static Step failed(State state, RequestEvent.EndpointFailed event) {
    Optional<Request> request = state.requests().of(event.attempt());
    State freed = endpointFailed(forget(state, event.attempt()), event);
    return request.isEmpty()
        ? dispatchWaiting(freed)
        : afterFailure(freed, request.get(), event.sent());
  }

  private static State forget(State state, AttemptId attempt) {
    RequestState requests = state.requests();
    RequestState resolved =
        requests.lateOf(attempt).map(r -> requests.resolved(r.id())).orElse(requests);
    return state.with(resolved.forget(attempt));
  }

  private static State endpointFailed(State state, RequestEvent.EndpointFailed event) {
    return holder(state, event.attempt())
        .map(
            endpoint -> {
              EndpointView next =
                  event.sent()
                      ? endpoint.lost(event.attempt(), state.mono())
                      : endpoint.neverSent(event.attempt());
              return state.with(state.fleet().with(countFailure(state, next)));
            })
        .orElse(state);
  }

  /**
   * A request of which nothing left may be tried again whatever its kind. One that left is tried
   * again only when its row is idempotent; otherwise its outcome is unknown and said so at once.
   */
  static Step afterFailure(State state, Request request, boolean sent) {
    boolean safe = !sent || request.row().idempotent();
    if (safe && state.requests().retryTokens() >= 1) {
      return requeue(state.with(state.requests().spendRetry()), request);
    }
    if (sent) {
      Answer answer = Answer.of(Code.ENDPOINT_LOST, DOUBT_RETRY_MILLIS);
      return RequestReducer.finish(state, request, answer).then(Dispatching::dispatchWaiting);
    }
    Answer answer = Answer.of(Code.NO_ENDPOINT, DOUBT_RETRY_MILLIS);
    return RequestReducer.finish(state, request, answer)
        .then(s -> Claiming.release(s, request))
        .then(Dispatching::dispatchWaiting);
  }

  /** The caller has its answer, but a repeated request must learn that this one ran. */
  static Step late(State state, AttemptId attempt, Answer answer) {
    Optional<Request> request = state.requests().lateOf(attempt);
    State next = state.with(state.requests().forget(attempt));
    return request
        .map(r -> recordLate(next.with(next.requests().resolved(r.id())), r, answer))
        .orElseGet(() -> Step.of(next));
  }

  private static Step recordLate(State state, Request request, Answer answer) {
    return request.origin() == null
        ? Claiming.record(state, request, answer)
        : Step.of(state, Forwarding.reply(request.origin(), answer));
  }

  /** The endpoint may go on: its slot stays taken until an answer or a report frees it. */
  static Step deadline(State state, Request request) {
    Answer answer = Answer.of(Code.DEADLINE_AT_ENDPOINT, DOUBT_RETRY_MILLIS);
    Step step = RequestReducer.finish(state, request, answer);
    return request.row().idempotent()
        ? step
        : step.then(s -> Step.of(s.with(state.requests().closeAwaiting(request))));
  }
}
