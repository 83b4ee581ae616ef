package org.cottontack.core.task;

import java.util.List;
import org.cottontack.core.Event;
import org.cottontack.core.id.WorkerId;

/** Reports and answers of workers. */
public interface WorkerEvent extends Event {

  /**
   * A worker's answer to a poll.
   *
   * @param worker the worker
   * @param askedAt monotonic time of the poll
   * @param boot identifier of its current boot; a restart changes it
   * @param clock its own monotonic clock in milliseconds
   * @param runs all attempts that it runs and ended ones that it was not yet ordered to forget
   */
  record Reported(WorkerId worker, long askedAt, String boot, long clock, List<RunReport> runs)
      implements WorkerEvent {}

  /**
   * A worker's answer to a start order.
   *
   * @param worker the worker
   * @param run the attempt
   * @param accepted whether the attempt runs, or ran, on the worker
   * @param reason why it was refused
   */
  record StartAnswered(WorkerId worker, Run run, boolean accepted, String reason)
      implements WorkerEvent {}
}
