package org.cottontack.adapters.task;

import java.util.List;
import org.cottontack.core.id.RowName;
import org.cottontack.core.id.TaskId;
import org.cottontack.core.task.Demand;
import org.cottontack.core.task.RunReport;

/** JSON bodies of the workers' interface. */
public final class WorkerMessages {

  private WorkerMessages() {}

  /**
   * Body of {@code POST /v1/poll}.
   *
   * @param renew attempts whose leases are renewed
   * @param forget ended attempts that need not be reported again
   */
  public record Poll(List<Renew> renew, List<Attempt> forget) {}

  /**
   * A renewal.
   *
   * @param task the task
   * @param attempt its attempt
   * @param leaseMillis how long it may run from receipt
   */
  public record Renew(TaskId task, int attempt, long leaseMillis) {}

  /**
   * An attempt.
   *
   * @param task the task
   * @param attempt its attempt
   */
  public record Attempt(TaskId task, int attempt) {}

  /**
   * Answer to a poll.
   *
   * @param boot the worker's boot
   * @param clock its monotonic clock in milliseconds
   * @param runs every attempt it has
   */
  public record Report(String boot, long clock, List<RunState> runs) {}

  /**
   * One attempt in a report.
   *
   * @param task the task
   * @param attempt its attempt
   * @param status how it is doing
   * @param usage what it uses
   * @param checkpoint newest complete checkpoint, or null
   * @param outcome result or reason, or null
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
   * @param attempt its attempt
   * @param boot the boot it is for
   * @param expiresAt the worker's clock from which it refuses the order
   * @param row the row
   * @param input what it works on
   * @param checkpoint where to resume, or null
   * @param demand what it may use
   * @param leaseMillis how long it may run without a renewal
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
   * Answer to a start order.
   *
   * @param accepted whether the attempt runs or ran here
   * @param reason why not, or null
   */
  public record Started(boolean accepted, String reason) {}
}
