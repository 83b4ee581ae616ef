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
 * @param caller who asks
 * @param row its row as it stood on arrival
 * @param key idempotency key, or empty
 * @param bodyHash hash of the body, for comparing with a claim
 * @param body passed to the endpoint as it came
 * @param deadline monotonic time by which the caller wants an answer
 * @param origin the entry instance that forwarded it and holds its claim, or null for a caller
 * @param phase where it stands
 * @param claimVersion version of its claim row once that is ours, 0 before
 * @param sent the dispatch under way, or null
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
   * Where a forwarded request came from.
   *
   * @param address the entry instance
   * @param attempt its dispatch
   */
  public record Origin(String address, AttemptId attempt) {}

  /**
   * A dispatch.
   *
   * @param attempt its identifier
   * @param endpoint the endpoint, or null when it went to another entry instance
   * @param peer that entry instance's address, or null
   * @param at monotonic time
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
