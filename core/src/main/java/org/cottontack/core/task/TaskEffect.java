package org.cottontack.core.task;

import java.util.List;
import java.util.Locale;
import org.cottontack.core.Effect;
import org.cottontack.core.id.RowName;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.request.Ran;

/** What the task part does outside. */
public interface TaskEffect extends Effect {

  /**
   * The final answer to a submission, query or cancellation.
   *
   * @param ticket as asked
   * @param verdict what became of it
   * @param record the task as known, or null
   */
  record Answered(long ticket, Verdict verdict, TaskRecord record) implements TaskEffect {}

  /** What became of a submission, query or cancellation. */
  enum Verdict {
    /** It was done, or had been done before. */
    DONE(200, Ran.RAN, "done", 0),
    /** There is no such task. */
    NO_SUCH_TASK(404, Ran.NOT_RUN, "there is no such task", 0),
    /** The row is not in the table or is no batch row. */
    UNKNOWN_ROW(404, Ran.NOT_RUN, "the table has no such batch row", 0),
    /** Another task has this identifier. */
    ID_TAKEN(409, Ran.NOT_RUN, "another task has this id", 0),
    /** This instance is stopping or has no table. */
    NOT_READY(503, Ran.NOT_RUN, "this instance is starting or stopping", 1_000),
    /** The store did not answer, and nothing was written. */
    STORE_AWAY(503, Ran.NOT_RUN, "the store does not answer, nothing was written", 1_000),
    /** The store did not answer; the change may take effect. Asking again is safe. */
    IN_DOUBT(
        504,
        Ran.UNKNOWN,
        "the store did not answer; the change may take effect, asking again is safe",
        1_000);

    private final int status;
    private final Ran ran;
    private final String sentence;
    private final long retryAfterMillis;

    Verdict(int status, Ran ran, String sentence, long retryAfterMillis) {
      this.status = status;
      this.ran = ran;
      this.sentence = sentence;
      this.retryAfterMillis = retryAfterMillis;
    }

    /** Returns the HTTP status. */
    public int status() {
      return status;
    }

    /** Returns whether what was asked took effect. */
    public Ran ran() {
      return ran;
    }

    /** Returns one sentence for a person. */
    public String sentence() {
      return sentence;
    }

    /** Returns when to come back, 0 when coming back makes no sense. */
    public long retryAfterMillis() {
      return retryAfterMillis;
    }

    /** Returns the stable word callers see. */
    public String word() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /**
   * Asks a worker what it runs and renews the leases of some attempts.
   *
   * @param worker the worker
   * @param address {@code host:port}
   * @param askedAt monotonic time of asking; comes back
   * @param validUntil monotonic time from which it must not be sent
   * @param renew attempts to renew, each with its lease
   * @param forget ended attempts the worker need not report again
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
   * @param leaseMillis how long the worker may run it from receipt
   */
  record Renewal(Run run, long leaseMillis) {}

  /**
   * Orders a worker to start an attempt; idempotent for the same attempt.
   *
   * @param worker the worker
   * @param address {@code host:port}
   * @param boot the boot the order is for; another boot refuses it
   * @param validUntil monotonic time from which it must not be sent
   * @param expiresAt the worker's own clock from which it refuses the order
   * @param run the attempt
   * @param row the row
   * @param input what it works on
   * @param checkpoint where to resume, or null
   * @param demand what it may use
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
   * Orders a worker to checkpoint and stop an attempt; idempotent.
   *
   * @param worker the worker
   * @param address {@code host:port}
   * @param validUntil monotonic time from which it must not be sent
   * @param run the attempt
   */
  record StopRun(WorkerId worker, String address, long validUntil, Run run) implements TaskEffect {}
}
