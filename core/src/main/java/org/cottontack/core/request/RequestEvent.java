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
   * A caller's request.
   *
   * @param id a number not used before in this process
   * @param caller who asks
   * @param row the row it is for
   * @param key idempotency key, or empty
   * @param bodyHash hash of the body
   * @param millisLeft time until the deadline, or 0 for the row's own
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
   * An endpoint's whole answer, already checked to belong to the attempt.
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
   * Time to look again whether another copy of a request has an outcome.
   *
   * @param id the request
   * @param tries looks that remain after this one
   */
  record ClaimAgain(RequestId id, int tries) implements RequestEvent {}

  /**
   * A request's deadline came.
   *
   * @param id the request
   */
  record DeadlineCame(RequestId id) implements RequestEvent {}

  /** Time to tell the other entry instances of the data centre what is free here. */
  record ReportDue() implements RequestEvent {}
}
