package org.cottontack.daemon.job;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.cottontack.core.job.JobId;
import org.cottontack.core.job.JobPhase;
import org.cottontack.core.job.JobSpec;
import org.cottontack.core.job.ProgressText;
import org.cottontack.core.peer.Payload;
import org.cottontack.wire.JobCodec;

/**
 * Accepts and cancels jobs and reports their state. Uses only the store, so any instance can serve
 * any job.
 */
public final class Intake {

  private static final Logger LOG = LogManager.getLogger(Intake.class);

  /**
   * Delay after which a rejected caller should retry, in seconds. Usual outages last a few seconds,
   * and the store has been tried several times before a caller is rejected.
   */
  public static final long RETRY_AFTER_SECONDS = 1;

  /** Timeout of a caller that specifies none, in milliseconds. */
  private static final long DEFAULT_TIMEOUT_MILLIS = 3_000;

  /** Time reserved for sending the response to the caller, in milliseconds. */
  private static final long RESPONSE_MARGIN_MILLIS = 150;

  /** Interval between checks of an unanswered transaction, in milliseconds. */
  private static final long CHECK_INTERVAL_MILLIS = 100;

  /**
   * Time after which an unanswered transaction triggers a probe of the store, in milliseconds. A
   * read takes this long when the store is 60 times slower than usual.
   */
  private static final long PROBE_AFTER_MILLIS = 250;

  /**
   * Longest wait for the row of a job that admission control rejects, in milliseconds; then the job
   * is submitted as usual. A read takes 250 ms when the store is 60 times slower than usual.
   */
  private static final long STORED_CHECK_MILLIS = 300;

  /**
   * Delay before a transaction that was refused or has no response is sent again, in milliseconds.
   */
  private static final long RETRY_DELAY_MILLIS = 60;

  /**
   * Number of refusals by the store after which the caller is rejected, if no attempt is in doubt.
   */
  private static final int MAX_REFUSALS = 3;

  /** The result of a submission or cancellation. */
  public enum Answer {
    /** The submission or cancellation is stored. */
    STORED,
    /** It is not stored and will not be stored later. */
    REJECTED,
    /** It may be stored now or later. */
    UNKNOWN,
    /** No such job exists, and a submission of it that arrives later is rejected. */
    ABSENT,
    /**
     * The job was cancelled before its submission: it is not stored and will not be stored later.
     */
    CANCELLED,
    /**
     * The job could only be complete too late, because more work waits than can be done: it is not
     * stored and will not be stored by this call.
     */
    OVERLOADED,
    /**
     * It is larger than the store, or the memory of a leader, allows: it is not stored and can
     * never be.
     */
    TOO_LARGE,
    /** The store refuses its content: it is not stored and will not be stored by this call. */
    INVALID
  }

  /** Receives the answer to a submission; exactly one of the methods is called, once. */
  @FunctionalInterface
  public interface Caller {

    /** Called with the answer. */
    void answered(Answer answer);

    /**
     * Called in place of the answer {@link Answer#OVERLOADED}.
     *
     * @param retryAfterMillis when the caller should submit the job again, in milliseconds
     */
    default void overloaded(long retryAfterMillis) {
      answered(Answer.OVERLOADED);
    }
  }

  private final WatchedStore store;
  private final Timers timers;
  private final JobMetrics metrics;
  private final AdmissionGate gate;
  private final TaskLimit taskLimit = TaskLimit.ofProcess();

  /** Creates an intake on a store. */
  Intake(WatchedStore store, Timers timers, JobMetrics metrics, AdmissionGate gate) {
    this.gate = gate;
    this.store = store;
    this.timers = timers;
    this.metrics = metrics;
  }

  /**
   * Stores a job unless it is already stored, was cancelled before its submission, or is rejected
   * by admission control.
   *
   * @param job the job
   * @param timeoutMillis how long the caller waits, if specified
   * @param caller receives the answer
   */
  public void submit(JobSpec job, OptionalLong timeoutMillis, Caller caller) {
    long startMillis = timers.now().mono();
    Consumer<Answer> logged = withLogging("job.submitted", job.id(), caller::answered);
    if (!taskLimit.admits(job)) {
      logTooLarge(job, "tasks", job.tasks(), taskLimit.tasks());
      logged.accept(Answer.TOO_LARGE);
      return;
    }
    Consumer<AdmissionGate.Rejection> rejected =
        rejection -> {
          logRejected(job, rejection);
          logAnswer("job.submitted", job.id(), Answer.OVERLOADED, startMillis);
          caller.overloaded(rejection.limit().retryAfterMillis());
        };
    long deadlineMillis = deadlineMillis(timeoutMillis);
    Runnable storeJob =
        () ->
            ifStoreAvailable(
                () -> store(job, deadlineMillis, logged), () -> logged.accept(Answer.REJECTED));
    if (store.unavailable() || gate.rejection(job).isEmpty()) {
      storeJob.run();
    } else {
      new StoredJobCheck(job, () -> logged.accept(Answer.STORED), rejected, storeJob).start();
    }
  }

  private void store(JobSpec job, long deadlineMillis, Consumer<Answer> done) {
    int maxBytes = store.limits().contentBytes();
    byte[] content = JobCodec.write(job, maxBytes);
    if (content.length > maxBytes) {
      logTooLarge(job, "bytes", content.length, maxBytes);
      done.accept(Answer.TOO_LARGE);
      return;
    }
    RowKey row = JobTables.job(job.id());
    Transaction transaction =
        new Transaction(
            Map.of(row, 0L, JobTables.cancel(job.id()), 0L),
            Map.of(
                row,
                Payload.of(content),
                JobTables.waiting(job.id()),
                Payload.of(job.queue().name())),
            List.of());
    new RetriedTransaction(
            transaction,
            deadlineMillis,
            result -> done.accept(submissionAnswer(job.id(), result)),
            done)
        .start();
  }

  private static void logTooLarge(JobSpec job, String unit, long size, long limit) {
    LOG.info(
        new StringMapMessage()
            .with("event", "job.tooLarge")
            .with("job", job.id())
            .with("unit", unit)
            .with("size", size)
            .with("limit", limit));
  }

  private void logRejected(JobSpec job, AdmissionGate.Rejection rejection) {
    metrics.rejected(job.queue().name(), rejection.ageMillis());
    LOG.info(
        new StringMapMessage()
            .with("event", "job.refused")
            .with("job", job.id())
            .with("queue", job.queue().name())
            .with("waitMillis", rejection.limit().waitMillis())
            .with("retryMillis", rejection.limit().retryAfterMillis())
            .with("newsAgeMillis", rejection.ageMillis()));
  }

  /**
   * Returns the answer to a submission. A conflict in which the job's row exists means that another
   * attempt of this submission wrote the row.
   */
  private static Answer submissionAnswer(JobId id, CommitResult result) {
    if (result.outcome() == CommitResult.Outcome.DONE
        || result.current(JobTables.job(id)).isPresent()) {
      return Answer.STORED;
    }
    return result.current(JobTables.cancel(id)).isPresent() ? Answer.CANCELLED : Answer.UNKNOWN;
  }

  /**
   * Runs a call, or rejects it at once while the store is unavailable to this instance. A caller
   * that waited until its timeout would have no time left to try another instance. Nothing has been
   * sent to the store yet, so the answer "not stored" is correct.
   */
  private void ifStoreAvailable(Runnable call, Runnable refusal) {
    (store.unavailable() ? refusal : call).run();
  }

  private long deadlineMillis(OptionalLong timeoutMillis) {
    return timers.now().mono()
        + timeoutMillis.orElse(DEFAULT_TIMEOUT_MILLIS)
        - RESPONSE_MARGIN_MILLIS;
  }

  /**
   * Cancels a job. If there is no such job, a submission under this identifier is rejected for as
   * long as the state of an ended job stays readable. This is needed because an unanswered
   * submission may be carried out seconds after its cancellation.
   *
   * @param timeoutMillis how long the caller waits, if specified
   */
  public void cancel(JobId id, OptionalLong timeoutMillis, Consumer<Answer> done) {
    long deadlineMillis = deadlineMillis(timeoutMillis);
    Consumer<Answer> logged = withLogging("job.cancelled", id, done);
    ifStoreAvailable(
        () -> cancel(id, deadlineMillis, logged), () -> logged.accept(Answer.REJECTED));
  }

  private void cancel(JobId id, long deadlineMillis, Consumer<Answer> done) {
    store.scan(
        JobTables.JOBS,
        JobTables.job(id).part(),
        id.value(),
        scan -> {
          if (!scan.answered()) {
            done.accept(Answer.UNKNOWN);
          } else {
            Optional<Row> job =
                scan.rows().stream().filter(row -> row.key().equals(id.value())).findFirst();
            cancelAtVersion(id, versionOf(job), deadlineMillis, done);
          }
        });
  }

  private static long versionOf(Optional<Row> row) {
    return row.map(Row::version).orElse(0L);
  }

  private void cancelAtVersion(
      JobId id, long jobVersion, long deadlineMillis, Consumer<Answer> done) {
    Consumer<CommitResult> onResolved =
        result -> {
          long version = versionOf(result.current(JobTables.job(id)));
          if (result.outcome() == CommitResult.Outcome.DONE) {
            done.accept(Cancellation.forJobVersion(jobVersion).answer());
          } else if (version == jobVersion) {
            done.accept(Answer.UNKNOWN);
          } else {
            // The job was stored or removed since the previous attempt.
            cancelAtVersion(id, version, deadlineMillis, done);
          }
        };
    new RetriedTransaction(
            Cancellation.transaction(id, jobVersion), deadlineMillis, onResolved, done)
        .start();
  }

  /**
   * Reads a job's state.
   *
   * @param done receives the state; it has no phase when there is no such job
   */
  public void state(JobId id, Consumer<State> done) {
    ifStoreAvailable(() -> read(id, done), () -> done.accept(new State(false, Optional.empty())));
  }

  private void read(JobId id, Consumer<State> done) {
    store.scan(
        JobTables.PROGRESS,
        JobTables.PROGRESS_PART,
        id.value(),
        scan -> {
          if (!scan.answered()) {
            done.accept(new State(false, Optional.empty()));
          } else if (scan.rows().isEmpty()) {
            readUnstarted(id, done);
          } else {
            done.accept(stateOf(id, scan.rows().get(0).text()));
          }
        });
  }

  private static State stateOf(JobId id, String progress) {
    try {
      return new State(true, Optional.of(ProgressText.phase(progress)));
    } catch (IllegalArgumentException e) {
      LOG.error("cannot read the progress of job {}", id, e);
      return new State(false, Optional.empty());
    }
  }

  private void readUnstarted(JobId id, Consumer<State> done) {
    store.scan(
        JobTables.JOBS,
        JobTables.job(id).part(),
        id.value(),
        scan -> {
          Optional<JobPhase> phase =
              scan.rows().isEmpty() ? Optional.empty() : Optional.of(JobPhase.QUEUED);
          done.accept(new State(scan.answered(), phase));
        });
  }

  /**
   * A job's state as read from the store.
   *
   * @param known false when the store did not answer or its response is unreadable
   * @param phase the phase, or empty when there is no such job
   */
  public record State(boolean known, Optional<JobPhase> phase) {}

  /**
   * Counts the jobs of a queue that wait for their first start; the result is empty when the store
   * is unavailable.
   */
  public void waiting(String queue, Consumer<OptionalLong> done) {
    ifStoreAvailable(
        () -> count(queue, JobTables.intakeParts(), 0, done),
        () -> done.accept(OptionalLong.empty()));
  }

  private void count(String queue, List<String> parts, long sum, Consumer<OptionalLong> done) {
    if (parts.isEmpty()) {
      done.accept(OptionalLong.of(sum));
      return;
    }
    store.scan(
        JobTables.WAITING,
        parts.get(0),
        "",
        scan -> {
          if (!scan.answered()) {
            done.accept(OptionalLong.empty());
            return;
          }
          long found = scan.rows().stream().filter(row -> row.text().equals(queue)).count();
          count(queue, parts.subList(1, parts.size()), sum + found, done);
        });
  }

  private Consumer<Answer> withLogging(String event, JobId id, Consumer<Answer> done) {
    long startMillis = timers.now().mono();
    return answer -> {
      logAnswer(event, id, answer, startMillis);
      done.accept(answer);
    };
  }

  private void logAnswer(String event, JobId id, Answer answer, long startMillis) {
    long elapsedMillis = timers.now().mono() - startMillis;
    metrics.answered(event, answer, elapsedMillis);
    LOG.info(
        new StringMapMessage()
            .with("event", event)
            .with("job", id)
            .with("answer", answer)
            .with("millis", elapsedMillis));
  }

  /**
   * Reads the row of a job that admission control rejects. A stored job must not be reported as
   * rejected to a caller that submits it again, because it will run.
   */
  private final class StoredJobCheck {

    private final JobSpec job;
    private final Runnable stored;
    private final Consumer<AdmissionGate.Rejection> rejected;
    private final Runnable proceed;
    private boolean finished;

    /**
     * Creates a check; nothing is read before {@link #start}.
     *
     * @param stored called if the job is stored
     * @param rejected called if it is not stored and is still rejected
     * @param proceed called if this is unknown, or if the job is no longer rejected
     */
    StoredJobCheck(
        JobSpec job,
        Runnable stored,
        Consumer<AdmissionGate.Rejection> rejected,
        Runnable proceed) {
      this.job = job;
      this.stored = stored;
      this.rejected = rejected;
      this.proceed = proceed;
    }

    void start() {
      RowKey row = JobTables.job(job.id());
      timers.after(STORED_CHECK_MILLIS, () -> finish(proceed));
      store.scan(row.table(), row.part(), row.key(), scan -> finish(() -> decide(scan)));
    }

    private void decide(TableStore.Scan scan) {
      RowKey key = JobTables.job(job.id());
      if (!scan.answered()) {
        proceed.run();
      } else if (scan.rows().stream().anyMatch(row -> row.at().equals(key))) {
        stored.run();
      } else {
        gate.rejection(job).ifPresentOrElse(rejected, proceed);
      }
    }

    private void finish(Runnable result) {
      if (!finished) {
        finished = true;
        result.run();
      }
    }
  }

  /**
   * One transaction, sent until it has a definite result, the caller's timeout has passed, or the
   * store is unavailable. A late attempt is not abandoned when the next one is sent; its response
   * still counts. In a slow store, each attempt waits in the partition's queue, so attempts that
   * are sent too early delay the transactions of other callers.
   */
  private final class RetriedTransaction {

    private final Transaction transaction;
    private final long deadlineMillis;
    private final Consumer<CommitResult> onResolved;
    private final Consumer<Answer> done;
    private final long startMillis = timers.now().mono();
    private long lastSentMillis;
    private int sendCount;
    private int refusals;
    private int inFlight;
    private boolean inDoubt;
    private boolean probed;
    private boolean finished;

    /**
     * Creates the transaction; nothing is sent before {@link #start}.
     *
     * @param deadlineMillis when the caller stops waiting, on this process's monotonic clock
     * @param onResolved receives a definite result: done, or a conflict
     * @param done receives the answer when there is no definite result
     */
    RetriedTransaction(
        Transaction transaction,
        long deadlineMillis,
        Consumer<CommitResult> onResolved,
        Consumer<Answer> done) {
      this.transaction = transaction;
      this.deadlineMillis = deadlineMillis;
      this.onResolved = onResolved;
      this.done = done;
    }

    void start() {
      send();
      checkProgress();
    }

    private void send() {
      long remainingMillis = deadlineMillis - timers.now().mono();
      if (finished || remainingMillis <= 0) {
        return;
      }
      lastSentMillis = timers.now().mono();
      sendCount++;
      inFlight++;
      store.commit(transaction, remainingMillis, this::handleResult);
    }

    private void checkProgress() {
      if (finished) {
        return;
      }
      long now = timers.now().mono();
      if (now >= deadlineMillis || store.unavailable()) {
        abandon();
        return;
      }
      if (!probed && now - startMillis >= PROBE_AFTER_MILLIS && !store.answeredSince(startMillis)) {
        probed = true;
        store.probe();
      }
      if (store.answeredSince(startMillis)
          && now - lastSentMillis >= sendCount * store.retryTimeoutMillis()) {
        send();
      }
      timers.after(CHECK_INTERVAL_MILLIS, this::checkProgress);
    }

    private void handleResult(CommitResult result) {
      inFlight--;
      switch (result.outcome()) {
        case DONE, CONFLICT -> finish(() -> onResolved.accept(result));
        case INVALID -> finish(() -> done.accept(Answer.INVALID));
        case UNKNOWN -> {
          inDoubt = true;
          scheduleResend();
        }
        case REFUSED -> {
          refusals++;
          scheduleResend();
        }
        default -> throw new IllegalStateException("no such outcome: " + result.outcome());
      }
    }

    /**
     * Schedules another attempt if none is in flight, or rejects the caller after too many
     * refusals.
     */
    private void scheduleResend() {
      if (inFlight > 0) {
        return;
      }
      if (!inDoubt && refusals >= MAX_REFUSALS) {
        finish(() -> done.accept(Answer.REJECTED));
      } else {
        timers.after(RETRY_DELAY_MILLIS, this::send);
      }
    }

    private void abandon() {
      Answer answer = inDoubt || inFlight > 0 ? Answer.UNKNOWN : Answer.REJECTED;
      finish(() -> done.accept(answer));
    }

    private void finish(Runnable callback) {
      if (!finished) {
        finished = true;
        callback.run();
      }
    }
  }
}
