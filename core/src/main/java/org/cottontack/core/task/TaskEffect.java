package org.cottontack.core.task;

import java.util.List;
import java.util.Locale;
import org.cottontack.core.Effect;
import org.cottontack.core.id.RowName;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.request.Ran;

/** Effects of tasks on callers and workers. */
public interface TaskEffect extends Effect {

  /**
   * The final answer to a submission, query or cancellation.
   *
   * @param ticket the ticket of the submission, query or cancellation
   * @param verdict its outcome
   * @param record the task's last known record, or null
   */
  record Answered(long ticket, Verdict verdict, TaskRecord record) implements TaskEffect {}

  /** The outcome of a submission, query or cancellation. */
  enum Verdict {
    /** It was carried out now or had been before. */
    DONE(200, Ran.RAN, "done", 0),
    /** There is no such task. */
    NO_SUCH_TASK(404, Ran.NOT_RUN, "there is no such task", 0),
    /** The row is not in the table or is not a batch row. */
    UNKNOWN_ROW(404, Ran.NOT_RUN, "the table has no such batch row", 0),
    /** Another task has this identifier. */
    ID_TAKEN(409, Ran.NOT_RUN, "another task has this id", 0),
    /** This instance is stopping or has no table yet. */
    NOT_READY(503, Ran.NOT_RUN, "this instance is starting or stopping", 1_000),
    /** The store did not answer, and nothing was written. */
    STORE_AWAY(503, Ran.NOT_RUN, "the store does not answer, nothing was written", 1_000),
    /** The store did not answer, so the change may take effect. A retry is safe. */
    IN_DOUBT(
        504,
        Ran.UNKNOWN,
        "the store did not answer; the change may take effect, asking again is safe",
        1_000);

    private final int status;
    private final Ran ran;
    private final String message;
    private final long retryAfterMillis;

    Verdict(int status, Ran ran, String message, long retryAfterMillis) {
      this.status = status;
      this.ran = ran;
      this.message = message;
      this.retryAfterMillis = retryAfterMillis;
    }

    /** Returns the HTTP status. */
    public int status() {
      return status;
    }

    /** Returns whether the submission, query or cancellation took effect. */
    public Ran ran() {
      return ran;
    }

    /** Returns a message for people. */
    public String message() {
      return message;
    }

    /** Returns the delay before a retry, or 0 where a retry is useless. */
    public long retryAfterMillis() {
      return retryAfterMillis;
    }

    /** Returns the stable name of this verdict for callers. */
    public String word() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /**
   * Polls a worker for its attempts and renews the leases of some of them.
   *
   * @param worker the worker
   * @param address {@code host:port}
   * @param askedAt monotonic time of the poll; the report carries it too
   * @param validUntil monotonic time from which it must not be sent
   * @param renew attempts to renew, each with its lease
   * @param forget ended attempts that the worker need not report again
   */
  record PollWorker(
      WorkerId worker,
      String address,
      long askedAt,
      long validUntil,
      List<Renewal> renew,
      List<Run> forget)
      implements TaskEffect {}

  /**
   * A renewal of one attempt's lease.
   *
   * @param run the attempt
   * @param leaseMillis how long the worker may run it after it received the renewal
   */
  record Renewal(Run run, long leaseMillis) {}

  /**
   * Orders a worker to start an attempt. The order is idempotent for the same attempt.
   *
   * @param worker the worker
   * @param address {@code host:port}
   * @param boot identifier of the worker's boot; the worker refuses the order after a restart
   * @param validUntil monotonic time from which it must not be sent
   * @param expiresAt time on the worker's own clock from which the worker refuses the order
   * @param run the attempt
   * @param row the row
   * @param input the task's input
   * @param checkpoint checkpoint to resume from, or null
   * @param demand resources that it may use
   * @param leaseMillis how long it may run without a renewal
   */
  record StartRun(
      WorkerId worker,
      String address,
      String boot,
      long validUntil,
      long expiresAt,
      Run run,
      RowName row,
      String input,
      String checkpoint,
      Demand demand,
      long leaseMillis)
      implements TaskEffect {}

  /**
   * Orders a worker to checkpoint and stop an attempt. The order is idempotent.
   *
   * @param worker the worker
   * @param address {@code host:port}
   * @param validUntil monotonic time from which it must not be sent
   * @param run the attempt
   */
  record StopRun(WorkerId worker, String address, long validUntil, Run run) implements TaskEffect {}
}
