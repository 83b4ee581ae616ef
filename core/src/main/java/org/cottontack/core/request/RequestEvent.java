package org.cottontack.core.request;

import org.cottontack.core.Event;
import org.cottontack.core.id.AttemptId;
import org.cottontack.core.id.CallerId;
import org.cottontack.core.id.RequestId;
import org.cottontack.core.id.RowName;
import org.cottontack.core.peer.Payload;

/** Events of requests. */
public interface RequestEvent extends Event {

  /**
   * A request arrived from a caller.
   *
   * @param id a number not used before in this process
   * @param caller the caller
   * @param row the row of the request
   * @param key idempotency key, or empty
   * @param bodyHash hash of the body
   * @param millisLeft time until the deadline, 0 for the deadline of the row, or negative if the
   *     deadline has passed
   * @param body the body
   */
  record Arrived(
      RequestId id,
      CallerId caller,
      RowName row,
      String key,
      String bodyHash,
      long millisLeft,
      Payload body)
      implements RequestEvent {}

  /**
   * An endpoint's whole answer. The sender of this event has checked that it belongs to the
   * attempt.
   *
   * @param attempt the dispatch
   * @param status the endpoint's HTTP status
   * @param body the whole body
   */
  record EndpointAnswered(AttemptId attempt, int status, Payload body) implements RequestEvent {}

  /**
   * A dispatch ended without a whole answer.
   *
   * @param attempt the dispatch
   * @param sent whether any byte of it may have left this process
   */
  record EndpointFailed(AttemptId attempt, boolean sent) implements RequestEvent {}

  /**
   * Time to check again whether another copy of a request has an outcome.
   *
   * @param id the request
   * @param tries checks that remain after this one
   */
  record ClaimAgain(RequestId id, int tries) implements RequestEvent {}

  /**
   * A request's deadline came.
   *
   * @param id the request
   */
  record DeadlineCame(RequestId id) implements RequestEvent {}

  /** Time to report free slots to the other entry instances of the data centre. */
  record ReportDue() implements RequestEvent {}
}
