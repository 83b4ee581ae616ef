package org.cottontack.core.request;

import java.util.Optional;
import org.cottontack.core.State;
import org.cottontack.core.ownership.OwnershipPhase;
import org.cottontack.core.table.RowKind;
import org.cottontack.core.table.RowSpec;
import org.cottontack.core.table.TeamSpec;

/** Decides on arrival whether a request is accepted, before anything is written or sent. */
final class Admission {

  private static final long LEAVING_RETRY_MILLIS = 1_000;
  private static final long LIMIT_RETRY_MILLIS = 500;
  private static final long MIN_RETRY_MILLIS = 100;

  private Admission() {}

  /** Returns the refusal of a request, or empty if the request is accepted. */
  static Optional<Answer> refusal(State state, RequestEvent.Arrived event) {
    if (state.ownership().phase() == OwnershipPhase.LEAVING
        || state.ownership().phase() == OwnershipPhase.LEFT) {
      return refuse(Code.LEAVING, LEAVING_RETRY_MILLIS);
    }
    if (state.table().version() == 0) {
      return refuse(Code.NO_TABLE, LEAVING_RETRY_MILLIS);
    }
    Optional<RowSpec> row = state.table().row(event.row()).filter(r -> r.kind() == RowKind.SERVICE);
    return row.isEmpty() ? refuse(Code.UNKNOWN_ROW, 0) : refusalForRow(state, event, row.get());
  }

  private static Optional<Answer> refusalForRow(
      State state, RequestEvent.Arrived event, RowSpec row) {
    if (event.millisLeft() < 0) {
      return refuse(Code.DEADLINE_PASSED, 0);
    }
    if (!row.idempotent() && event.key().isBlank()) {
      return refuse(Code.KEY_REQUIRED, 0);
    }
    if (!row.idempotent() && state.store().unavailable()) {
      return refuse(Code.STORE_AWAY, LEAVING_RETRY_MILLIS);
    }
    if (overLimit(state, row)) {
      return refuse(Code.OVER_LIMIT, LIMIT_RETRY_MILLIS);
    }
    return overloaded(state, event, row)
        ? refuse(Code.OVERLOADED, retryAfter(state))
        : Optional.empty();
  }

  private static boolean overLimit(State state, RowSpec row) {
    RequestState requests = state.requests();
    int teamLimit =
        state.table().record().content().team(row.team()).map(TeamSpec::maxInFlight).orElse(0);
    return requests.share(row.name()).open() >= row.maxInFlight()
        || requests.teamOpen(row.team()) >= teamLimit;
  }

  private static boolean overloaded(State state, RequestEvent.Arrived event, RowSpec row) {
    if (state.requests().open().size() >= state.settings().maxQueued()) {
      return true;
    }
    double mean = state.requests().share(row.name()).meanMillis();
    return expectedWait(state, row) + mean > millisLeft(event, row);
  }

  /**
   * Returns the expected wait of a new request of this row in milliseconds: the row's waiting
   * requests, slowed down by the fair shares of other rows with waiting requests, times the row's
   * mean time at an endpoint, divided by the slots.
   */
  private static double expectedWait(State state, RowSpec row) {
    RequestState requests = state.requests();
    RowShare share = requests.share(row.name());
    int slots = Math.max(1, state.fleet().heldSlots());
    double weights =
        requests.shares().entrySet().stream()
            .filter(entry -> !entry.getValue().waiting().isEmpty())
            .filter(entry -> !entry.getKey().equals(row.name()))
            .flatMap(entry -> state.table().row(entry.getKey()).stream())
            .mapToDouble(other -> weight(state, other))
            .sum();
    double slowdown = 1 + weights / weight(state, row);
    return share.waiting().size() * slowdown * share.meanMillis() / slots;
  }

  static int weight(State state, RowSpec row) {
    return state.table().record().content().weightAt(row, state.now().wall());
  }

  private static long millisLeft(RequestEvent.Arrived event, RowSpec row) {
    return event.millisLeft() == 0
        ? row.deadlineMillis()
        : Math.min(event.millisLeft(), row.deadlineMillis());
  }

  /** Returns the time until the requests that wait now are done, as a hint for retries. */
  static long retryAfter(State state) {
    int slots = Math.max(1, state.fleet().heldSlots());
    double work =
        state.requests().shares().values().stream()
            .mapToDouble(share -> share.waiting().size() * share.meanMillis())
            .sum();
    return MIN_RETRY_MILLIS + Math.round(work / slots);
  }

  static Request open(State state, RequestEvent.Arrived event, Request.Origin origin) {
    RowSpec row = state.table().row(event.row()).orElseThrow();
    return new Request(
        event.id(),
        event.caller(),
        row,
        event.key(),
        event.bodyHash(),
        event.body(),
        state.mono() + millisLeft(event, row),
        origin,
        Phase.QUEUED,
        0,
        null);
  }

  private static Optional<Answer> refuse(Code code, long retryAfterMillis) {
    return Optional.of(Answer.of(code, retryAfterMillis));
  }
}
