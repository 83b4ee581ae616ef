package org.cottontack.core.request;

import org.cottontack.core.id.InstanceId;
import org.cottontack.core.peer.Payload;
import org.cottontack.core.store.StoredValue;

/**
 * The record that lets a non-idempotent request run at most once over all processes.
 *
 * @param phase the progress of the request
 * @param holder incarnation of the entry instance that may send it to an endpoint
 * @param bodyHash distinguishes a repeated request from another one with the same key
 * @param endpointStatus the endpoint's status, or 0 until it has answered
 * @param answer the endpoint's whole answer, or null if there is none or it was too large to keep
 */
public record ClaimRecord(
    Phase phase, InstanceId holder, String bodyHash, int endpointStatus, Payload answer)
    implements StoredValue {

  /** The progress of a claimed request. */
  public enum Phase {
    /** The request may be sent, may be running, or may have run. */
    CLAIMED,
    /** The request was abandoned before it was sent, so a retry may claim it again. */
    RELEASED,
    /** The request ran, with this answer. */
    ANSWERED
  }

  ClaimRecord released() {
    return new ClaimRecord(Phase.RELEASED, holder, bodyHash, 0, null);
  }

  ClaimRecord answered(int status, Payload whole) {
    return new ClaimRecord(Phase.ANSWERED, holder, bodyHash, status, whole);
  }
}
