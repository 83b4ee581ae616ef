package org.cottontack.core.peer;

import org.cottontack.core.id.AttemptId;
import org.cottontack.core.id.CallerId;
import org.cottontack.core.id.RowName;
import org.cottontack.core.store.StoreKey;

/** A message between two entry instances. Any of them may be lost, late or repeated. */
public interface PeerMessage {

  /**
   * Asks for a promise not to revoke the sender's lease for one lease time.
   *
   * @param epoch the epoch the sender acts under
   * @param round tells answers of different rounds apart
   */
  record PromiseAsk(long epoch, long round) implements PeerMessage {}

  /**
   * Answers a {@link PromiseAsk}; a refusal is silence.
   *
   * @param epoch as asked
   * @param round as asked
   */
  record PromiseGiven(long epoch, long round) implements PeerMessage {}

  /**
   * Tells what the sender can take and which table it has in force.
   *
   * @param freeSlots endpoint slots the sender could use at once
   * @param tableVersion the version in force at the sender
   */
  record Report(int freeSlots, long tableVersion) implements PeerMessage {}

  /**
   * Tells that a live task can be picked up.
   *
   * @param key its row
   */
  record TaskNotice(StoreKey key) implements PeerMessage {}

  /**
   * Hands a request to an instance that has a free slot. The sender holds the claim of a request
   * that is not idempotent and never sends it twice.
   *
   * @param attempt the sender's dispatch
   * @param caller the caller
   * @param row the row
   * @param key the idempotency key, or empty
   * @param millisLeft time left until the deadline, in milliseconds
   * @param body the request as it came
   */
  record Forward(
      AttemptId attempt, CallerId caller, RowName row, String key, long millisLeft, Payload body)
      implements PeerMessage {}

  /**
   * The final answer to a {@link Forward}.
   *
   * @param attempt as in the forward
   * @param code stable code
   * @param retryAfterMillis when to come back, 0 for never
   * @param endpointStatus the endpoint's status when it ran, otherwise 0
   * @param body the whole answer when it ran
   */
  record Forwarded(
      AttemptId attempt, String code, long retryAfterMillis, int endpointStatus, Payload body)
      implements PeerMessage {}
}
