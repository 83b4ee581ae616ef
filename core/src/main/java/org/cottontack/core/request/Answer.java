package org.cottontack.core.request;

import org.cottontack.core.peer.Payload;

/**
 * The final answer to a request.
 *
 * @param code what happened
 * @param retryAfterMillis when to come back, 0 when coming back makes no sense
 * @param endpointStatus the endpoint's own status when it ran, otherwise 0
 * @param body the endpoint's whole answer when it ran, otherwise empty
 */
public record Answer(Code code, long retryAfterMillis, int endpointStatus, Payload body) {

  /** Returns an answer without a body. */
  public static Answer of(Code code, long retryAfterMillis) {
    return new Answer(code, retryAfterMillis, 0, Payload.EMPTY);
  }

  /** Returns the endpoint's whole answer. */
  public static Answer ran(int endpointStatus, Payload body) {
    return new Answer(Code.OK, 0, endpointStatus, body);
  }
}
