package org.cottontack.daemon.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.cottontack.core.job.JobEffect;
import org.cottontack.core.job.JobEvent;
import org.cottontack.core.job.JobId;
import org.cottontack.core.job.JobScheduler;
import org.cottontack.core.job.JobSpec;
import org.cottontack.core.job.JobTable;
import org.cottontack.core.job.JobTiming;
import org.cottontack.core.job.ProgressText;
import org.cottontack.core.job.WorkerReport;
import org.cottontack.core.peer.Payload;
import org.cottontack.wire.JobCodec;
import org.cottontack.wire.WireException;

/** One term of leading: feeds the scheduler and carries out its effects. */
final class Leader {

  private static final Logger LOG = LogManager.getLogger(Leader.class);

  /**
   * Oldest news of cancellations with which work is started, in milliseconds: two waits of 1 s,
   * under the 3 s in which a cancelled job must stop starting.
   */
  private static final long CANCELS_AGE_MILLIS = 2_000;

  /** Time between two ticks of the scheduler, in milliseconds. */
  private static final long TICK_MILLIS = 100;

  /** First wait for an answer of the store, in milliseconds. */
  private static final long FIRST_WAIT_MILLIS = 300;

  /** Longest wait for one answer, in milliseconds: covers a store that is 60 times slower. */
  private static final long LONGEST_WAIT_MILLIS = 2_400;

  private static final long PAUSE_MILLIS = 100;

  /** Time between two removals of rows of jobs that no longer wait; a count may be 2 s old. */
  private static final long REMOVE_MILLIS = 500;

  /** Rows removed in one transaction; the store takes 100. */
  private static final int REMOVE_ROWS = 100;

  /** Pause after a decision as a multiple of the time it took: half the processor at most. */
  private static final long PAUSE_SHARE = 1;

  /** Longest pause between decisions, in milliseconds: a fifth of the tightest objective. */
  private static final long LONGEST_PAUSE_MILLIS = 50;

  private final TableStore store;
  private final Timers timers;
  private final WorkerCalls workers;
  private final WorkerRegistry registry;
  private final Leadership leadership;
  private final JobMetrics metrics;
  private final long epoch;
  private final Retention retention;
  private final Map<JobId, JobSpec> accepted = new HashMap<>();
  private final Map<JobId, String> progress = new HashMap<>();
  private final Set<JobId> cancelled = new HashSet<>();
  private final List<Follower> followers = new ArrayList<>();
  private final Map<String, List<RowKey>> begun = new HashMap<>();
  private Follower cancels;
  private JobTable table;
  private JobScheduler scheduler;
  private String learned = "";
  private boolean stopped;
  private int toRead;
  private List<JobId> savingEnded = List.of();
  private long fenceVersion;
  private long saves;
  private long saveBeganMillis;
  private boolean deciding;
  private long pauseMillis;

  Leader(
      TableStore store,
      Timers timers,
      WorkerCalls workers,
      WorkerRegistry registry,
      Leadership leadership,
      JobMetrics metrics,
      Retention retention,
      long epoch,
      JobTable table) {
    this.store = store;
    this.timers = timers;
    this.workers = workers;
    this.registry = registry;
    this.leadership = leadership;
    this.metrics = metrics;
    this.retention = retention;
    this.epoch = epoch;
    this.table = table;
  }

  long epoch() {
    return epoch;
  }

  void start() {
    readProgress();
  }

  void stop() {
    stopped = true;
    followers.forEach(Follower::stop);
    retention.stop();
  }

  void table(JobTable next) {
    table = next;
    post(new JobEvent.TableChanged(next));
  }

  // Taking over

  private void readProgress() {
    if (stopped) {
      return;
    }
    store.scan(
        JobTables.PROGRESS,
        JobTables.PROGRESS_PART,
        "",
        scan -> {
          if (scan.answered()) {
            claim(scan);
          } else {
            timers.after(PAUSE_MILLIS, this::readProgress);
          }
        });
  }

  /**
   * Takes the fence row. Each write of an earlier leader changes that row, so the progress read
   * before is complete if the row is unchanged, and from now on their writes conflict.
   */
  private void claim(TableStore.Scan scan) {
    Optional<Row> held =
        scan.rows().stream().filter(row -> row.at().equals(JobTables.FENCE)).findFirst();
    if (held.map(Leader::epochOf).orElse(0L) > epoch) {
      leadership.stepDown("a newer leader has taken over");
      return;
    }
    long version = held.map(Row::version).orElse(0L);
    store.commit(
        Change.write(JobTables.FENCE, version, fence()),
        LONGEST_WAIT_MILLIS,
        answer -> {
          if (answer.outcome() != CommitAnswer.Outcome.DONE) {
            timers.after(PAUSE_MILLIS, this::readProgress);
            return;
          }
          fenceVersion = answer.version();
          scan.rows().forEach(this::progress);
          readRest();
        });
  }

  private void progress(Row row) {
    if (row.at().equals(JobTables.LEARNED)) {
      learned = row.text();
    } else if (!row.at().equals(JobTables.FENCE)) {
      progress.put(new JobId(row.key()), row.text());
    }
  }

  private static long epochOf(Row fence) {
    return Long.parseLong(fence.text().split(" ", 2)[0]);
  }

  private String fence() {
    return epoch + " " + saves;
  }

  private void readRest() {
    if (stopped) {
      return;
    }
    List<String> parts = JobTables.intakeParts();
    followers.add(new Follower(store, timers, JobTables.JOBS, parts, this::job, this::onTableRead));
    cancels =
        new Follower(store, timers, JobTables.CANCELS, parts, this::cancel, this::onTableRead);
    followers.add(cancels);
    followers.add(registry.follower(this::post, this::onTableRead));
    toRead = followers.size();
    followers.forEach(Follower::start);
  }

  private void job(Row row) {
    if (row.removed()) {
      return;
    }
    try {
      JobSpec job = JobCodec.read(new JobId(row.key()), row.value().bytes());
      if (scheduler == null) {
        accepted.put(job.id(), job);
      } else {
        post(new JobEvent.JobArrived(job));
      }
    } catch (WireException e) {
      LOG.error("skipping a job that cannot be read: {}", row.key(), e);
    }
  }

  private void cancel(Row row) {
    JobId id = new JobId(row.key());
    if (row.removed()) {
      return;
    }
    if (scheduler == null) {
      cancelled.add(id);
    } else {
      post(new JobEvent.JobCancelled(id));
    }
  }

  private void onTableRead() {
    toRead--;
    if (toRead == 0) {
      begin();
    }
  }

  private void begin() {
    JobScheduler made = new JobScheduler(JobTiming.STANDARD, table, timers.now());
    scheduler = made;
    post(new JobEvent.LearnedRecovered(learned));
    registry.replay(this::post);
    accepted.values().stream()
        .filter(job -> open(progress.get(job.id())))
        .sorted(Comparator.comparing(JobSpec::id))
        .forEach(this::recover);
    cancelled.forEach(id -> post(new JobEvent.JobCancelled(id)));
    LOG.info(
        new StringMapMessage()
            .with("event", "leader.ready")
            .with("epoch", epoch)
            .with("jobs", accepted.size()));
    progress.keySet().forEach(this::begun);
    // Those without a job are what a removal left that its leader did not live to finish. Open
    // ones without a job stay: this version may be unable to read it.
    progress.keySet().stream().filter(id -> !open(progress.get(id))).forEach(retention::ended);
    retention.start();
    accepted.clear();
    progress.clear();
    cancelled.clear();
    tick();
    removeWaiting();
  }

  private static boolean open(String text) {
    return text == null || !ProgressText.phase(text).terminal() || ProgressText.onWorkers(text);
  }

  private void recover(JobSpec job) {
    String text = progress.get(job.id());
    post(text == null ? new JobEvent.JobArrived(job) : new JobEvent.JobRecovered(job, text));
  }

  private void tick() {
    if (!stopped) {
      post(new JobEvent.Tick());
      timers.after(TICK_MILLIS, this::tick);
    }
  }

  // Deciding

  private void post(JobEvent event) {
    if (stopped || scheduler == null) {
      return;
    }
    metrics.event(event);
    scheduler.take(timers.now(), event).forEach(this::run);
    if (!deciding) {
      deciding = true;
      timers.after(pauseMillis, this::decide);
    }
  }

  /** Decides about all events since the last time; the pause bounds its share of the processor. */
  private void decide() {
    deciding = false;
    if (stopped) {
      return;
    }
    long began = System.nanoTime();
    scheduler.decide(timers.now()).forEach(this::run);
    long took = System.nanoTime() - began;
    metrics.decided(took);
    pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, PAUSE_SHARE * TimeUnit.NANOSECONDS.toMillis(took));
  }

  private void run(JobEffect effect) {
    metrics.effect(effect);
    if (effect instanceof JobEffect.SaveProgress save) {
      save(save);
    } else if (effect instanceof JobEffect.StartRun start) {
      workers.start(
          start,
          epoch,
          this::mayStart,
          result -> post(new JobEvent.StartEnded(start.worker(), start.run(), result)));
    } else if (effect instanceof JobEffect.StopRun stop) {
      workers.stop(
          stop,
          epoch,
          answered -> post(new JobEvent.StopEnded(stop.worker(), stop.run(), answered)));
    } else if (effect instanceof JobEffect.LookAtWorker look) {
      look(look);
    } else if (effect instanceof JobEffect.PaceRun pace) {
      workers.pace(pace, epoch, answered -> paced(pace, answered));
    } else if (effect instanceof JobEffect.Begun begun) {
      begun(begun.job());
    } else if (effect instanceof JobEffect.HandOver over) {
      timers.soon(() -> leadership.handOver(over.reason()));
    } else if (effect instanceof JobEffect.StepDown down) {
      timers.soon(() -> leadership.stepDown(down.reason()));
    } else if (effect instanceof JobEffect.Note note) {
      LOG.info(
          new StringMapMessage()
              .with("event", note.name())
              .with("subject", note.subject())
              .with("detail", note.detail()));
    }
  }

  private void paced(JobEffect.PaceRun pace, boolean answered) {
    if (!answered) {
      post(new JobEvent.PaceLost(pace.worker(), pace.run()));
    }
  }

  /**
   * A start needs the lease, and news of cancellations that are not old. While the table of
   * cancellations is out of reach, callers may be told elsewhere that a job is cancelled, and its
   * tasks would go on starting here.
   */
  private boolean mayStart() {
    return !stopped
        && leadership.mayStart()
        && timers.now().mono() - cancels.contactMillis() < CANCELS_AGE_MILLIS;
  }

  private void look(JobEffect.LookAtWorker look) {
    long sent = timers.now().mono();
    workers.look(
        look,
        epoch,
        () -> !stopped && leadership.mayRenew(),
        answer -> post(lookEnded(look, sent, answer)));
  }

  private JobEvent lookEnded(JobEffect.LookAtWorker look, long sent, WorkerCalls.Look answer) {
    WorkerReport report = answer.report();
    return switch (answer.outcome()) {
      case ANSWERED -> new JobEvent.WorkerReported(look.worker(), sent, report);
      case SILENT -> new JobEvent.WorkerSilent(look.worker());
      case REBORN -> new JobEvent.WorkerReborn(look.worker());
      case FENCED -> {
        timers.soon(() -> leadership.stepDown("a worker has seen a newer leader"));
        yield new JobEvent.WorkerSilent(look.worker());
      }
    };
  }

  // Jobs that no longer wait

  private void begun(JobId id) {
    begun
        .computeIfAbsent(JobTables.waiting(id).part(), part -> new ArrayList<>())
        .add(JobTables.waiting(id));
  }

  private void removeWaiting() {
    if (stopped) {
      return;
    }
    begun.values().forEach(this::removeWaiting);
    begun.clear();
    timers.after(REMOVE_MILLIS, this::removeWaiting);
  }

  private void removeWaiting(List<RowKey> rows) {
    for (int from = 0; from < rows.size(); from += REMOVE_ROWS) {
      List<RowKey> some =
          List.copyOf(rows.subList(from, Math.min(rows.size(), from + REMOVE_ROWS)));
      Change change = new Change(Map.of(), Map.of(), some);
      store.commit(change, LONGEST_WAIT_MILLIS, answer -> removed(some, answer));
    }
  }

  /** A row that stays would count its job as waiting for good, so a removal is tried until done. */
  private void removed(List<RowKey> rows, CommitAnswer answer) {
    if (answer.outcome() != CommitAnswer.Outcome.DONE && !stopped) {
      rows.forEach(row -> begun.computeIfAbsent(row.part(), p -> new ArrayList<>()).add(row));
    }
  }

  // Saving

  private void save(JobEffect.SaveProgress save) {
    saves++;
    savingEnded =
        save.progress().entrySet().stream()
            .filter(entry -> !open(entry.getValue()))
            .map(Map.Entry::getKey)
            .toList();
    saveBeganMillis = timers.now().mono();
    Map<RowKey, Payload> writes = new HashMap<>();
    save.progress().forEach((id, text) -> writes.put(JobTables.progress(id), Payload.of(text)));
    writes.put(JobTables.FENCE, Payload.of(fence()));
    if (!save.learned().isEmpty()) {
      writes.put(JobTables.LEARNED, Payload.of(save.learned()));
    }
    Change change = new Change(Map.of(JobTables.FENCE, fenceVersion), writes, List.of());
    commit(change, FIRST_WAIT_MILLIS);
  }

  /**
   * Sends the same change until it is certainly stored. Without the fence row's version an
   * unanswered copy could be carried out after newer writes and bring an old state back.
   */
  private void commit(Change change, long waitMillis) {
    if (!stopped) {
      store.commit(change, waitMillis, answer -> committed(change, waitMillis, answer));
    }
  }

  private void committed(Change change, long waitMillis, CommitAnswer answer) {
    switch (answer.outcome()) {
      case DONE -> saved(answer.version());
      case REFUSED -> timers.after(PAUSE_MILLIS, () -> commit(change, waitMillis));
      case UNKNOWN -> commit(change, Math.min(2 * waitMillis, LONGEST_WAIT_MILLIS));
      case CONFLICT -> conflict(answer);
      default -> throw new IllegalStateException("no such outcome: " + answer.outcome());
    }
  }

  private void conflict(CommitAnswer answer) {
    Row fence = answer.current(JobTables.FENCE).orElse(null);
    if (fence != null && fence.text().equals(fence())) {
      saved(fence.version());
    } else {
      leadership.stepDown("another leader writes progress");
    }
  }

  private void saved(long version) {
    metrics.saved(timers.now().mono() - saveBeganMillis);
    fenceVersion = version;
    savingEnded.forEach(retention::ended);
    savingEnded = List.of();
    post(new JobEvent.ProgressSaved());
  }
}
