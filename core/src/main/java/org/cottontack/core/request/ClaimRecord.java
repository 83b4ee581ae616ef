package org.cottontack.core.request;

import org.cottontack.core.id.InstanceId;
import org.cottontack.core.peer.Payload;
import org.cottontack.core.store.StoredValue;

/**
 * The record that lets a non-idempotent request run at most once over all processes.
 *
 * @param phase how far it came
 * @param holder the incarnation that may send it to an endpoint
 * @param bodyHash tells a repeated request from another one with the same key
 * @param endpointStatus the endpoint's status once it answered
 * @param answer the endpoint's whole answer, or null when it was too large to keep
 */
public record ClaimRecord(
    Phase phase, InstanceId holder, String bodyHash, int endpointStatus, Payload answer)
    implements StoredValue {

  /** How far a claimed request came. */
  public enum Phase {
    /** May be sent, may be running, or may have run. */
    CLAIMED,
    /** Was given up before it was sent: the next try may claim it again. */
    RELEASED,
    /** Ran, with this answer. */
    ANSWERED
  }

  ClaimRecord released() {
    return new ClaimRecord(Phase.RELEASED, holder, bodyHash, 0, null);
  }

  ClaimRecord answered(int status, Payload whole) {
    return new ClaimRecord(Phase.ANSWERED, holder, bodyHash, status, whole);
  }
}
