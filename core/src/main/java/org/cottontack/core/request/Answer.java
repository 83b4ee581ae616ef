package org.cottontack.core.request;

import org.cottontack.core.peer.Payload;

/**
 * The final answer to a request.
 *
 * @param code the outcome
 * @param retryAfterMillis delay before a retry, or 0 where a retry is useless
 * @param endpointStatus the endpoint's own status if the request ran, otherwise 0
 * @param body the endpoint's whole answer if the request ran, otherwise empty
 */
public record Answer(Code code, long retryAfterMillis, int endpointStatus, Payload body) {

  /** Returns an answer without a body. */
  public static Answer of(Code code, long retryAfterMillis) {
    return new Answer(code, retryAfterMillis, 0, Payload.EMPTY);
  }

  /** Returns an answer with the endpoint's status and its whole body. */
  public static Answer ran(int endpointStatus, Payload body) {
    return new Answer(Code.OK, 0, endpointStatus, body);
  }
}
