package org.cottontack.core.task;

import java.util.List;
import org.cottontack.core.Event;
import org.cottontack.core.id.WorkerId;

/** What workers say. */
public interface WorkerEvent extends Event {

  /**
   * A worker's answer to a poll.
   *
   * @param worker the worker
   * @param askedAt monotonic time of asking
   * @param boot its current boot; a restart gets a new one
   * @param clock its own monotonic clock in milliseconds
   * @param runs every attempt it runs or has not been told to forget
   */
  record Reported(WorkerId worker, long askedAt, String boot, long clock, List<RunReport> runs)
      implements WorkerEvent {}

  /**
   * A worker's answer to a start order.
   *
   * @param worker the worker
   * @param run the attempt
   * @param accepted whether it runs, or ran, there
   * @param reason why not
   */
  record StartAnswered(WorkerId worker, Run run, boolean accepted, String reason)
      implements WorkerEvent {}
}
