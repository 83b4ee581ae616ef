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

/** Takes jobs in, cancels them and tells their state, on any instance, through the store alone. */
public final class Intake {

  private static final Logger LOG = LogManager.getLogger(Intake.class);

  /**
   * When a caller that was refused should come back, in seconds: usual outages last some seconds,
   * and the store is asked a few times before a caller is refused.
   */
  public static final long COME_BACK_SECONDS = 1;

  /** How long a caller waits that does not say, in milliseconds. */
  private static final long USUAL_PATIENCE_MILLIS = 3_000;

  /** Time kept back for the way of the answer to the caller, in milliseconds. */
  private static final long ANSWER_MILLIS = 150;

  /** Time between two looks at a call that has no answer, in milliseconds. */
  private static final long LOOK_MILLIS = 100;

  /**
   * Time after which a call without an answer makes us ask whether the store answers at all, in
   * milliseconds: a read takes as long at a store that is 60 times slower than usual.
   */
  private static final long PROBE_MILLIS = 250;

  /** Pause before a call that was refused or broken off is made again, in milliseconds. */
  private static final long PAUSE_MILLIS = 60;

  /** Tries of a call that the store refuses each time before the caller is told so. */
  private static final int REFUSED_TRIES = 3;

  /** How a submission or cancellation ends. */
  public enum Answer {
    /** It is stored. */
    STORED,
    /** It is certainly not stored and never will be. */
    REJECTED,
    /** It may be stored. */
    UNKNOWN,
    /** There is no such job, and a submission of it that comes late is refused. */
    ABSENT,
    /** Its job was cancelled before it came: it is certainly not stored and never will be. */
    CANCELLED
  }

  private final WatchedStore store;
  private final Timers timers;
  private final JobMetrics metrics;

  /** Uses a store. */
  Intake(WatchedStore store, Timers timers, JobMetrics metrics) {
    this.store = store;
    this.timers = timers;
    this.metrics = metrics;
  }

  /**
   * Stores a job unless it is already there, or was cancelled before it came.
   *
   * @param job the job
   * @param patienceMillis how long the caller waits, if it said
   * @param done gets the answer
   */
  public void submit(JobSpec job, OptionalLong patienceMillis, Consumer<Answer> done) {
    RowKey row = JobTables.job(job.id());
    Transaction change =
        new Transaction(
            Map.of(row, 0L, JobTables.cancel(job.id()), 0L),
            Map.of(
                row,
                Payload.of(JobCodec.write(job)),
                JobTables.waiting(job.id()),
                Payload.of(job.queue().name())),
            List.of());
    Consumer<Answer> logged = logged("job.submitted", job.id(), done);
    long untilMillis = untilMillis(patienceMillis);
    ifReached(
        () ->
            new Attempt(
                    change, untilMillis, answer -> logged.accept(taken(job.id(), answer)), logged)
                .start(),
        () -> logged.accept(Answer.REJECTED));
  }

  /** A conflict beside the job's row says that an earlier copy of this submission wrote it. */
  private static Answer taken(JobId id, CommitResult answer) {
    if (answer.outcome() == CommitResult.Outcome.DONE
        || answer.current(JobTables.job(id)).isPresent()) {
      return Answer.STORED;
    }
    return answer.current(JobTables.cancel(id)).isPresent() ? Answer.CANCELLED : Answer.UNKNOWN;
  }

  /**
   * Turns a caller away at once while the store serves nothing here. Held until its time was up, it
   * had none left for another instance; nothing has been sent, so "not stored" is true.
   */
  private void ifReached(Runnable call, Runnable refusal) {
    (store.away() ? refusal : call).run();
  }

  private long untilMillis(OptionalLong patienceMillis) {
    return timers.now().mono() + patienceMillis.orElse(USUAL_PATIENCE_MILLIS) - ANSWER_MILLIS;
  }

  /**
   * Cancels a job. Where there is none, one that is submitted under this identifier is refused for
   * as long as the state of a job that ended stays readable: a submission without an answer may be
   * carried out seconds after its cancellation.
   *
   * @param patienceMillis how long the caller waits, if it said
   */
  public void cancel(JobId id, OptionalLong patienceMillis, Consumer<Answer> done) {
    long untilMillis = untilMillis(patienceMillis);
    Consumer<Answer> logged = logged("job.cancelled", id, done);
    ifReached(() -> cancel(id, untilMillis, logged), () -> logged.accept(Answer.REJECTED));
  }

  private void cancel(JobId id, long untilMillis, Consumer<Answer> done) {
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
            cancelAt(id, versionOf(job), untilMillis, done);
          }
        });
  }

  private static long versionOf(Optional<Row> row) {
    return row.map(Row::version).orElse(0L);
  }

  private void cancelAt(JobId id, long jobVersion, long untilMillis, Consumer<Answer> done) {
    Consumer<CommitResult> settled =
        answer -> {
          long version = versionOf(answer.current(JobTables.job(id)));
          if (answer.outcome() == CommitResult.Outcome.DONE) {
            done.accept(Cancellation.fitting(jobVersion).answer());
          } else if (version == jobVersion) {
            done.accept(Answer.UNKNOWN);
          } else {
            // The job has come or gone since it was looked for.
            cancelAt(id, version, untilMillis, done);
          }
        };
    new Attempt(Cancellation.change(id, jobVersion), untilMillis, settled, done).start();
  }

  /**
   * Tells a job's state.
   *
   * @param done gets the phase, {@code null} when the store gives no answer, or nothing when there
   *     is no such job
   */
  public void state(JobId id, Consumer<State> done) {
    ifReached(() -> read(id, done), () -> done.accept(new State(false, Optional.empty())));
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
            notStarted(id, done);
          } else {
            done.accept(stateOf(id, scan.rows().get(0).text()));
          }
        });
  }

  private static State stateOf(JobId id, String progress) {
    try {
      return new State(true, Optional.of(ProgressText.phase(progress)));
    } catch (IllegalArgumentException e) {
      LOG.error("the progress of {} cannot be read", id, e);
      return new State(false, Optional.empty());
    }
  }

  private void notStarted(JobId id, Consumer<State> done) {
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
   * A job's state as the store tells it.
   *
   * @param known false when the store gave no answer, or one that cannot be read
   * @param phase the phase, or nothing when there is no such job
   */
  public record State(boolean known, Optional<JobPhase> phase) {}

  /** Counts the jobs of a queue that wait for their first start; nothing when the store is away. */
  public void waiting(String queue, Consumer<OptionalLong> done) {
    ifReached(
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

  private Consumer<Answer> logged(String event, JobId id, Consumer<Answer> done) {
    long began = timers.now().mono();
    return answer -> {
      long took = timers.now().mono() - began;
      metrics.answered(event, answer, took);
      LOG.info(
          new StringMapMessage()
              .with("event", event)
              .with("job", id)
              .with("answer", answer)
              .with("millis", took));
      done.accept(answer);
    };
  }

  /**
   * One transaction, sent until it has a certain answer, the caller has gone, or the store is away.
   * A copy that is late is waited for beside the next one: at a store that is slow each copy takes
   * its turn in the partition's queue, so copies sent early hold up those of other callers.
   */
  private final class Attempt {

    private final Transaction change;
    private final long untilMillis;
    private final Consumer<CommitResult> settled;
    private final Consumer<Answer> done;
    private final long beganMillis = timers.now().mono();
    private long sentMillis;
    private int copies;
    private int refusals;
    private int open;
    private boolean uncertain;
    private boolean probed;
    private boolean ended;

    /**
     * Creates one that does nothing yet.
     *
     * @param untilMillis when the caller has gone, on our steady clock
     * @param settled gets the certain answer: done, or a conflict
     * @param done gets the answer when there is no certain one
     */
    Attempt(
        Transaction change,
        long untilMillis,
        Consumer<CommitResult> settled,
        Consumer<Answer> done) {
      this.change = change;
      this.untilMillis = untilMillis;
      this.settled = settled;
      this.done = done;
    }

    void start() {
      send();
      look();
    }

    private void send() {
      long left = untilMillis - timers.now().mono();
      if (ended || left <= 0) {
        return;
      }
      sentMillis = timers.now().mono();
      copies++;
      open++;
      store.commit(change, left, this::answered);
    }

    private void look() {
      if (ended) {
        return;
      }
      long now = timers.now().mono();
      if (now >= untilMillis || store.away()) {
        giveUp();
        return;
      }
      if (!probed && now - beganMillis >= PROBE_MILLIS && !store.heardSince(beganMillis)) {
        probed = true;
        store.probe();
      }
      if (store.heardSince(beganMillis) && now - sentMillis >= copies * store.patienceMillis()) {
        send();
      }
      timers.after(LOOK_MILLIS, this::look);
    }

    private void answered(CommitResult answer) {
      open--;
      switch (answer.outcome()) {
        case DONE, CONFLICT -> end(() -> settled.accept(answer));
        case UNKNOWN -> {
          uncertain = true;
          sendSoon();
        }
        case REFUSED -> {
          refusals++;
          sendSoon();
        }
        default -> throw new IllegalStateException("no such outcome: " + answer.outcome());
      }
    }

    /** Sends again what has neither been answered nor is under way. */
    private void sendSoon() {
      if (open > 0) {
        return;
      }
      if (!uncertain && refusals >= REFUSED_TRIES) {
        end(() -> done.accept(Answer.REJECTED));
      } else {
        timers.after(PAUSE_MILLIS, this::send);
      }
    }

    private void giveUp() {
      Answer answer = uncertain || open > 0 ? Answer.UNKNOWN : Answer.REJECTED;
      end(() -> done.accept(answer));
    }

    private void end(Runnable tell) {
      if (!ended) {
        ended = true;
        tell.run();
      }
    }
  }
}
