package org.cottontack.core.request;

import org.cottontack.core.id.AttemptId;
import org.cottontack.core.id.CallerId;
import org.cottontack.core.id.EndpointId;
import org.cottontack.core.id.RequestId;
import org.cottontack.core.peer.Payload;
import org.cottontack.core.store.StoreKey;
import org.cottontack.core.table.RowSpec;

/**
 * A request that has no final answer yet.
 *
 * @param id number in this process
 * @param caller the caller that sent it
 * @param row its row at the time of arrival
 * @param key idempotency key, or empty
 * @param bodyHash hash of the body, for comparing with a claim
 * @param body body, passed to the endpoint unchanged
 * @param deadline monotonic time by which the caller wants an answer
 * @param origin the entry instance that forwarded it and holds its claim, or null for a caller
 * @param phase its phase in this process
 * @param claimVersion version of its claim row once this process holds the claim, 0 before
 * @param sent the dispatch in progress, or null
 */
public record Request(
    RequestId id,
    CallerId caller,
    RowSpec row,
    String key,
    String bodyHash,
    Payload body,
    long deadline,
    Origin origin,
    Phase phase,
    long claimVersion,
    Sent sent) {

  /**
   * The origin of a forwarded request.
   *
   * @param address the address of the entry instance that forwarded it
   * @param attempt the dispatch of that instance
   */
  public record Origin(String address, AttemptId attempt) {}

  /**
   * A dispatch of a request.
   *
   * @param attempt identifier of the dispatch
   * @param endpoint the endpoint, or null if the request was sent to another entry instance
   * @param peer the address of that entry instance, or null
   * @param at monotonic time of the dispatch
   */
  public record Sent(AttemptId attempt, EndpointId endpoint, String peer, long at) {}

  /** Returns the key of this request's claim. */
  StoreKey claimKey() {
    return StoreKey.claim(caller, key);
  }

  /** Returns whether this process must claim the request before it may send it. */
  boolean needsClaim() {
    return !row.idempotent() && origin == null;
  }

  Request at(Phase next) {
    return new Request(
        id, caller, row, key, bodyHash, body, deadline, origin, next, claimVersion, sent);
  }

  Request claimed(long version) {
    return new Request(
        id, caller, row, key, bodyHash, body, deadline, origin, phase, version, sent);
  }

  Request sentBy(Phase next, Sent dispatch) {
    return new Request(
        id, caller, row, key, bodyHash, body, deadline, origin, next, claimVersion, dispatch);
  }
}
