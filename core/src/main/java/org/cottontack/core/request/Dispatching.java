package org.cottontack.core.request;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cottontack.core.State;
import org.cottontack.core.Step;
import org.cottontack.core.fleet.EndpointView;
import org.cottontack.core.id.AttemptId;
import org.cottontack.core.id.RowName;

/** Assigns waiting requests to free slots and turns the results into final answers. */
final class Dispatching {

  private static final long IN_DOUBT_RETRY_MILLIS = 1_000;
  private static final int FIRST_SERVER_ERROR = 500;
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

  /** Assigns free slots until none is left, first to the row that is furthest behind its weight. */
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
   * Sends a request to an endpoint or forwards it. A request that another instance forwarded cannot
   * be forwarded again. Where no endpoint is left for it, it is returned at once as not run: if it
   * waited here until its deadline, its caller would be left in doubt, because the instance that
   * forwarded it cannot distinguish waiting from running.
   */
  private static Optional<Step> place(State state, Request request) {
    boolean usable = state.ownership().mayAct(state.mono()) && state.fleet().heldSlots() > 0;
    if (request.origin() != null && !usable) {
      Answer refusal = Answer.of(Code.NO_ENDPOINT, IN_DOUBT_RETRY_MILLIS);
      return Optional.of(RequestReducer.finish(state, request, refusal));
    }
    if (!state.ownership().mayAct(state.mono())) {
      return Forwarding.forward(state, request);
    }
    return choose(state)
        .map(endpoint -> Optional.of(send(state, request, endpoint)))
        .orElseGet(() -> Forwarding.forward(state, request));
  }

  /**
   * Returns the cheapest endpoint with a free slot. The count of free slots is exact, because only
   * this process uses the slots of the endpoints that it holds.
   */
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
    next = next.with(dequeueAndCharge(next, request).sent(sent));
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

  /** Removes a request from its row's queue and charges the row for the service. */
  static RequestState dequeueAndCharge(State state, Request request) {
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
    boolean succeeded = event.status() < FIRST_SERVER_ERROR;
    Optional<Request> request = state.requests().openRequestOf(event.attempt());
    State next = freeSlot(state, event.attempt(), succeeded);
    Answer answer = Answer.ran(event.status(), event.body());
    if (request.isEmpty()) {
      return answeredLate(next, event.attempt(), answer).then(Dispatching::dispatchWaiting);
    }
    return measured(next, request.get())
        .then(s -> RequestReducer.finish(s, request.get(), answer))
        .then(s -> Claiming.record(s, request.get(), answer))
        .then(Dispatching::dispatchWaiting);
  }

  private static State freeSlot(State state, AttemptId attempt, boolean succeeded) {
    return endpointOf(state, attempt)
        .map(
            endpoint -> {
              long millis = state.mono() - endpoint.busy().get(attempt);
              EndpointView freed = endpoint.answered(attempt, millis, succeeded);
              return state.with(state.fleet().with(succeeded ? freed : countFailure(state, freed)));
            })
        .orElse(state);
  }

  private static Optional<EndpointView> endpointOf(State state, AttemptId attempt) {
    return state.fleet().endpoints().values().stream()
        .filter(endpoint -> endpoint.busy().containsKey(attempt))
        .findFirst();
  }

  private static Step measured(State state, Request request) {
    RowName row = request.row().name();
    RowShare share = state.requests().share(row).measured(state.mono() - request.sent().at());
    return Step.of(state.with(state.requests().with(row, share)));
  }

  /**
   * Counts a failure of an endpoint unless more than half of the endpoints would then be ejected.
   * If there were no such limit, faulty requests of callers could eject all endpoints.
   */
  private static EndpointView countFailure(State state, EndpointView endpoint) {
    List<EndpointView> held =
        state.fleet().endpoints().values().stream().filter(EndpointView::held).toList();
    long ejected = held.stream().filter(e -> e.ejectedUntil() > state.mono()).count();
    return ejected + 1 > held.size() * MAX_EJECTED_SHARE ? endpoint : endpoint.failed(state.mono());
  }

  static Step failed(State state, RequestEvent.EndpointFailed event) {
    Optional<Request> request = state.requests().openRequestOf(event.attempt());
    State freed = endpointFailed(forget(state, event.attempt()), event);
    return request.isEmpty()
        ? dispatchWaiting(freed)
        : afterFailure(freed, request.get(), event.sent());
  }

  private static State forget(State state, AttemptId attempt) {
    RequestState requests = state.requests();
    RequestState resolved =
        requests.abandonedRequestOf(attempt).map(r -> requests.resolved(r.id())).orElse(requests);
    return state.with(resolved.forget(attempt));
  }

  private static State endpointFailed(State state, RequestEvent.EndpointFailed event) {
    return endpointOf(state, event.attempt())
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
   * Retries or answers a request after a failed dispatch. If no byte of it left this process, it
   * may be retried whatever its kind. Otherwise it may be retried only if its row is idempotent;
   * any other request may have run, and its caller is informed at once that the outcome is unknown.
   */
  static Step afterFailure(State state, Request request, boolean sent) {
    boolean safe = !sent || request.row().idempotent();
    if (safe && state.requests().retryTokens() >= 1) {
      return requeue(state.with(state.requests().spendRetry()), request);
    }
    if (sent) {
      Answer answer = Answer.of(Code.ENDPOINT_LOST, IN_DOUBT_RETRY_MILLIS);
      return RequestReducer.finish(state, request, answer).then(Dispatching::dispatchWaiting);
    }
    Answer answer = Answer.of(Code.NO_ENDPOINT, IN_DOUBT_RETRY_MILLIS);
    return RequestReducer.finish(state, request, answer)
        .then(s -> Claiming.release(s, request))
        .then(Dispatching::dispatchWaiting);
  }

  /**
   * Records an endpoint's answer that arrives after the caller got the final one, so that a
   * repeated request is answered as one that ran.
   */
  static Step answeredLate(State state, AttemptId attempt, Answer answer) {
    Optional<Request> request = state.requests().abandonedRequestOf(attempt);
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

  /**
   * Answers a request whose deadline came while an endpoint had it. The endpoint may still run it,
   * so its slot stays occupied until an answer or a report frees it.
   */
  static Step deadline(State state, Request request) {
    Answer answer = Answer.of(Code.DEADLINE_AT_ENDPOINT, IN_DOUBT_RETRY_MILLIS);
    Step step = RequestReducer.finish(state, request, answer);
    return request.row().idempotent()
        ? step
        : step.then(s -> Step.of(s.with(state.requests().closeAsAbandoned(request))));
  }
}
