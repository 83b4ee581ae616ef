package org.cottontack.core.task;

import org.cottontack.core.Event;
import org.cottontack.core.id.RowName;
import org.cottontack.core.id.TaskId;

/** Events of tasks, except reports and answers of workers. */
public interface TaskEvent extends Event {

  /**
   * A caller submits a task. Submitting the same task again is idempotent.
   *
   * @param ticket number that the answer carries too
   * @param id identifier, chosen by the caller or generated
   * @param row a batch row
   * @param input the task's input
   * @param demand the resources it needs, or null for those that its row declares
   */
  record SubmitAsked(long ticket, TaskId id, RowName row, String input, Demand demand)
      implements TaskEvent {}

  /**
   * A caller queries the status of a task.
   *
   * @param ticket number that the answer carries too
   * @param id the task
   */
  record StatusAsked(long ticket, TaskId id) implements TaskEvent {}

  /**
   * A caller cancels a task. Cancelling again is idempotent.
   *
   * @param ticket number that the answer carries too
   * @param id the task
   */
  record CancelAsked(long ticket, TaskId id) implements TaskEvent {}

  /**
   * The caller of a submission, query or cancellation no longer waits.
   *
   * @param ticket the ticket
   */
  record TicketExpired(long ticket) implements TaskEvent {}

  /** Time to place waiting tasks. */
  record PlaceDue() implements TaskEvent {}

  /** Time to poll workers and to check for expired leases. */
  record PollDue() implements TaskEvent {}

  /** Time to read the next bucket of live tasks. */
  record SweepDue() implements TaskEvent {}
}
