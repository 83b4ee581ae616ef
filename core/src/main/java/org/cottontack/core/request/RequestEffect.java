package org.cottontack.core.request;

import org.cottontack.core.Effect;
import org.cottontack.core.id.AttemptId;
import org.cottontack.core.id.EndpointId;
import org.cottontack.core.id.RequestId;
import org.cottontack.core.id.RowName;
import org.cottontack.core.peer.Payload;

/** Effects of requests on endpoints and callers. */
public interface RequestEffect extends Effect {

  /**
   * Sends a request to an endpoint, either at once or not at all.
   *
   * @param attempt this dispatch
   * @param endpoint the endpoint
   * @param address {@code host:port}
   * @param row the row
   * @param millisLeft time left until the deadline
   * @param validUntil monotonic time from which it must not be sent, because this process may have
   *     lost the endpoint; checked again immediately before the first byte is sent
   * @param body the body
   */
  record Dispatch(
      AttemptId attempt,
      EndpointId endpoint,
      String address,
      RowName row,
      long millisLeft,
      long validUntil,
      Payload body)
      implements RequestEffect {}

  /**
   * Gives the caller the final answer.
   *
   * @param id the request
   * @param answer the answer
   */
  record Reply(RequestId id, Answer answer) implements RequestEffect {}
}
