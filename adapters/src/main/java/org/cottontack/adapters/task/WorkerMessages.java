package org.cottontack.adapters.task;

import java.util.List;
import org.cottontack.core.id.RowName;
import org.cottontack.core.id.TaskId;
import org.cottontack.core.task.Demand;
import org.cottontack.core.task.RunReport;

/** JSON bodies of the requests to workers and of their responses. */
public final class WorkerMessages {

  private WorkerMessages() {}

  /**
   * Body of {@code POST /v1/poll}.
   *
   * @param renew the attempts whose leases are renewed
   * @param forget the completed attempts that the worker need not report again
   */
  public record Poll(List<Renew> renew, List<Attempt> forget) {}

  /**
   * The renewal of a lease.
   *
   * @param task the task
   * @param attempt the attempt of the task
   * @param leaseMillis how long the attempt may run after the worker receives the renewal
   */
  public record Renew(TaskId task, int attempt, long leaseMillis) {}

  /**
   * An attempt of a task.
   *
   * @param task the task
   * @param attempt the attempt of the task
   */
  public record Attempt(TaskId task, int attempt) {}

  /**
   * Response to a poll.
   *
   * @param boot the identifier of the worker's boot
   * @param clock the worker's monotonic clock in milliseconds
   * @param runs all attempts that the worker runs, and ended ones that it was not yet ordered to
   *     forget
   */
  public record Report(String boot, long clock, List<RunState> runs) {}

  /**
   * One attempt in a report.
   *
   * @param task the task
   * @param attempt the attempt of the task
   * @param status the status of the attempt
   * @param usage the resources that the attempt uses
   * @param checkpoint the newest complete checkpoint, or null
   * @param outcome the result, or the reason why there is none, or null
   */
  public record RunState(
      TaskId task,
      int attempt,
      RunReport.Status status,
      Demand usage,
      String checkpoint,
      String outcome) {}

  /**
   * Body of {@code POST /v1/start}; idempotent for the same attempt.
   *
   * @param task the task
   * @param attempt the attempt of the task
   * @param boot the boot of the worker that the order is for
   * @param expiresAt the reading of the worker's clock from which on the worker refuses the order
   * @param row the row of the table
   * @param input the input of the task
   * @param checkpoint the checkpoint to resume from, or null
   * @param demand the resources that the attempt may use
   * @param leaseMillis how long the attempt may run without a renewal
   */
  public record Start(
      TaskId task,
      int attempt,
      String boot,
      long expiresAt,
      RowName row,
      String input,
      String checkpoint,
      Demand demand,
      long leaseMillis) {}

  /**
   * Response to a start order.
   *
   * @param accepted whether the attempt is running or has run on this worker
   * @param reason the reason of a refusal, or null
   */
  public record Started(boolean accepted, String reason) {}
}
