package org.cottontack.core.task;

import org.cottontack.core.Event;
import org.cottontack.core.id.RowName;
import org.cottontack.core.id.TaskId;

/** Events of tasks, other than what workers say. */
public interface TaskEvent extends Event {

  /**
   * A caller submits a task. Submitting the same task again is idempotent.
   *
   * @param ticket comes back with the answer
   * @param id chosen by the caller or minted
   * @param row a batch row
   * @param input what it works on
   * @param demand what it needs, or null for what its row declares
   */
  record SubmitAsked(long ticket, TaskId id, RowName row, String input, Demand demand)
      implements TaskEvent {}

  /**
   * A caller asks how a task is doing.
   *
   * @param ticket comes back with the answer
   * @param id the task
   */
  record StatusAsked(long ticket, TaskId id) implements TaskEvent {}

  /**
   * A caller cancels a task. Cancelling again is idempotent.
   *
   * @param ticket comes back with the answer
   * @param id the task
   */
  record CancelAsked(long ticket, TaskId id) implements TaskEvent {}

  /**
   * The caller of a submission, query or cancellation waits no longer.
   *
   * @param ticket the ticket
   */
  record TicketExpired(long ticket) implements TaskEvent {}

  /** Time to place waiting tasks. */
  record PlaceDue() implements TaskEvent {}

  /** Time to poll workers and to look for lapsed leases. */
  record PollDue() implements TaskEvent {}

  /** Time to read the next bucket of live tasks. */
  record SweepDue() implements TaskEvent {}
}
