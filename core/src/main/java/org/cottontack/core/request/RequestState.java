package org.cottontack.core.request;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import org.cottontack.core.id.AttemptId;
import org.cottontack.core.id.InstanceId;
import org.cottontack.core.id.RequestId;
import org.cottontack.core.id.RowName;
import org.cottontack.core.id.TeamId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The requests in this process.
 *
 * @param open requests without a final answer
 * @param byAttempt the request that each dispatch belongs to
 * @param shares waiting requests and service received, by row
 * @param teamOpen number of open requests, by team
 * @param abandoned requests whose callers have an answer while the outcome of their claim's write
 *     or of their run is still pending
 * @param peers free slots of other entry instances
 * @param reported the last report to other entry instances
 * @param nextAttempt number of the next dispatch
 * @param retryTokens retries that may still be made
 */
public record RequestState(
    PMap<RequestId, Request> open,
    PMap<AttemptId, RequestId> byAttempt,
    PMap<RowName, RowShare> shares,
    PMap<TeamId, Integer> teamOpen,
    PMap<RequestId, Request> abandoned,
    PMap<InstanceId, PeerLoad> peers,
    PeerLoad reported,
    long nextAttempt,
    double retryTokens) {

  /** Retries per request; the bound prevents retries from aggravating an overload. */
  static final double RETRY_RATIO = 0.1;

  private static final double MAX_RETRY_TOKENS = 10;

  /** A state without requests. */
  public static final RequestState EMPTY =
      new RequestState(
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          new PeerLoad("", -1, 0),
          1,
          MAX_RETRY_TOKENS);

  /** Returns whether this process still waits for an answer to this dispatch. */
  public boolean awaits(AttemptId attempt) {
    return byAttempt.containsKey(attempt);
  }

  /** Returns the open request that a dispatch belongs to. */
  Optional<Request> openRequestOf(AttemptId attempt) {
    return Optional.ofNullable(byAttempt.get(attempt)).map(open::get);
  }

  RowShare share(RowName row) {
    return shares.getOrDefault(row, RowShare.EMPTY);
  }

  int teamOpen(TeamId team) {
    return teamOpen.getOrDefault(team, 0);
  }

  /** Returns the number of waiting requests of all rows. */
  public int waiting() {
    return shares.values().stream().mapToInt(share -> share.waiting().size()).sum();
  }

  /** Returns the row that is furthest behind its weight among those with waiting requests. */
  Optional<RowName> nextRow() {
    return shares.entrySet().stream()
        .filter(entry -> !entry.getValue().waiting().isEmpty())
        .min(
            Comparator.<Map.Entry<RowName, RowShare>>comparingDouble(
                    entry -> entry.getValue().served())
                .thenComparing(Map.Entry::getKey))
        .map(Map.Entry::getKey);
  }

  RequestState admit(Request request) {
    RowShare share = share(request.row().name()).opened();
    double tokens = Math.min(MAX_RETRY_TOKENS, retryTokens + RETRY_RATIO);
    return new RequestState(
        open.plus(request.id(), request),
        byAttempt,
        shares.plus(request.row().name(), share),
        teamOpen.plus(request.row().team(), teamOpen(request.row().team()) + 1),
        abandoned,
        peers,
        reported,
        nextAttempt,
        tokens);
  }

  RequestState put(Request request) {
    return new RequestState(
        open.plus(request.id(), request),
        byAttempt,
        shares,
        teamOpen,
        abandoned,
        peers,
        reported,
        nextAttempt,
        retryTokens);
  }

  RequestState close(Request request) {
    RowShare share = share(request.row().name()).dequeue(request.id()).closed();
    return new RequestState(
        open.minus(request.id()),
        request.sent() == null ? byAttempt : byAttempt.minus(request.sent().attempt()),
        shares.plus(request.row().name(), share),
        teamOpen.plus(request.row().team(), teamOpen(request.row().team()) - 1),
        abandoned,
        peers,
        reported,
        nextAttempt,
        retryTokens);
  }

  RequestState with(RowName row, RowShare share) {
    return new RequestState(
        open,
        byAttempt,
        shares.plus(row, share),
        teamOpen,
        abandoned,
        peers,
        reported,
        nextAttempt,
        retryTokens);
  }

  RequestState with(PMap<InstanceId, PeerLoad> loads) {
    return new RequestState(
        open, byAttempt, shares, teamOpen, abandoned, loads, reported, nextAttempt, retryTokens);
  }

  RequestState withReported(PeerLoad report) {
    return new RequestState(
        open, byAttempt, shares, teamOpen, abandoned, peers, report, nextAttempt, retryTokens);
  }

  RequestState abandon(Request request) {
    return withAbandoned(abandoned.plus(request.id(), request));
  }

  /**
   * Closes a request whose run may still complete, and keeps it as abandoned, so that its outcome
   * can be recorded in its claim.
   */
  RequestState closeAsAbandoned(Request request) {
    RequestState closed = close(request);
    return new RequestState(
        closed.open,
        byAttempt,
        closed.shares,
        closed.teamOpen,
        abandoned.plus(request.id(), request),
        peers,
        reported,
        nextAttempt,
        retryTokens);
  }

  /** Returns the abandoned request that a dispatch belongs to; its caller already has an answer. */
  Optional<Request> abandonedRequestOf(AttemptId attempt) {
    return Optional.ofNullable(byAttempt.get(attempt)).map(abandoned::get);
  }

  /** Stops waiting for outcomes that only a lost entry instance could have reported. */
  RequestState dropAbandonedAt(String peer) {
    RequestState state = this;
    for (Request request : abandoned.values()) {
      boolean sentToPeer = request.phase() == Phase.AT_PEER && peer.equals(request.sent().peer());
      state = sentToPeer ? state.resolved(request.id()).forget(request.sent().attempt()) : state;
    }
    return state;
  }

  RequestState resolved(RequestId id) {
    return withAbandoned(abandoned.minus(id));
  }

  private RequestState withAbandoned(PMap<RequestId, Request> value) {
    return new RequestState(
        open, byAttempt, shares, teamOpen, value, peers, reported, nextAttempt, retryTokens);
  }

  RequestState sent(Request request) {
    return new RequestState(
        open.plus(request.id(), request),
        byAttempt.plus(request.sent().attempt(), request.id()),
        shares,
        teamOpen,
        abandoned,
        peers,
        reported,
        nextAttempt + 1,
        retryTokens);
  }

  RequestState forget(AttemptId attempt) {
    return new RequestState(
        open,
        byAttempt.minus(attempt),
        shares,
        teamOpen,
        abandoned,
        peers,
        reported,
        nextAttempt,
        retryTokens);
  }

  RequestState withNextAttempt() {
    return new RequestState(
        open,
        byAttempt,
        shares,
        teamOpen,
        abandoned,
        peers,
        reported,
        nextAttempt + 1,
        retryTokens);
  }

  RequestState spendRetry() {
    return new RequestState(
        open,
        byAttempt,
        shares,
        teamOpen,
        abandoned,
        peers,
        reported,
        nextAttempt,
        retryTokens - 1);
  }
}
