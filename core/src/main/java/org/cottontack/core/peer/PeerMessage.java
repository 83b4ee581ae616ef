package org.cottontack.core.peer;

import org.cottontack.core.id.AttemptId;
import org.cottontack.core.id.CallerId;
import org.cottontack.core.id.RowName;
import org.cottontack.core.store.StoreKey;

/** A message between two entry instances. Messages may be lost, delayed or repeated. */
public interface PeerMessage {

  /**
   * Requests a promise not to revoke the sender's lease for one lease duration.
   *
   * @param epoch the epoch under which the sender acts
   * @param round number of the promise round, which distinguishes answers to different rounds
   */
  record PromiseAsk(long epoch, long round) implements PeerMessage {}

  /**
   * Grants a {@link PromiseAsk}. A refusal is not sent: the request stays unanswered.
   *
   * @param epoch the epoch of the request
   * @param round the round of the request
   */
  record PromiseGiven(long epoch, long round) implements PeerMessage {}

  /**
   * Reports the sender's free capacity and the version of its operators' table.
   *
   * @param freeSlots number of endpoint slots that are free at the sender
   * @param tableVersion version of the table in force at the sender
   */
  record Report(int freeSlots, long tableVersion) implements PeerMessage {}

  /**
   * Notifies the receiver of a live task that it can take over.
   *
   * @param key the key of the task's row
   */
  record TaskNotice(StoreKey key) implements PeerMessage {}

  /**
   * Forwards a request to an instance that has a free slot. For a request that is not idempotent,
   * the sender holds the claim and never forwards it twice.
   *
   * @param attempt identifier of the sender's dispatch
   * @param caller the caller
   * @param row the row of the operators' table
   * @param key the idempotency key, or empty
   * @param millisLeft time left until the deadline, in milliseconds
   * @param body the unchanged body of the request
   */
  record Forward(
      AttemptId attempt, CallerId caller, RowName row, String key, long millisLeft, Payload body)
      implements PeerMessage {}

  /**
   * The final answer to a {@link Forward}.
   *
   * @param attempt the attempt of the forwarded request
   * @param code name of the result code, which stays the same across releases
   * @param retryAfterMillis time after which the caller may retry, 0 if it should not
   * @param endpointStatus the endpoint's status if the request ran, otherwise 0
   * @param body the complete response if the request ran
   */
  record Forwarded(
      AttemptId attempt, String code, long retryAfterMillis, int endpointStatus, Payload body)
      implements PeerMessage {}
}
