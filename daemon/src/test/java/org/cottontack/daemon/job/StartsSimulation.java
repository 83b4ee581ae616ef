package org.cottontack.daemon.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.cottontack.core.Moment;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.job.JobEffect;
import org.cottontack.core.job.JobEvent;
import org.cottontack.core.job.JobId;
import org.cottontack.core.job.JobTable;
import org.cottontack.core.job.Resources;
import org.cottontack.core.job.RunKey;
import org.cottontack.core.job.StartResult;
import org.cottontack.core.job.TaskName;
import org.cottontack.core.job.WorkerIncarnation;
import org.cottontack.core.job.WorkerInfo;
import org.cottontack.core.job.WorkerReport;
import org.cottontack.core.peer.Payload;

/**
 * One instance, a store and a worker with capacity for two tasks. A job has so many short tasks
 * that starts occur continuously. Other instances accept cancellations, an operator evacuates the
 * data centre, and the list of workers states that the worker drains: each of these is a row of the
 * store.
 */
final class StartsSimulation implements WorkerRegistry, WorkerClient {

  static final JobId JOB = new JobId("long");
  static final RowKey CANCEL = JobTables.cancel(JOB);
  static final RowKey EVACUATION = new RowKey("op", "", "evacuate/dc");
  static final RowKey DRAIN = new RowKey("workers", "", "w");

  private static final int TASKS = 400;
  private static final long WORK_MILLIS = 100;
  private static final long POLL_MILLIS = 50;
  private static final long ORDER_TIMEOUT_MILLIS = 900;
  private static final long NEVER_MILLIS = 1_000_000;

  final VirtualTimers time = new VirtualTimers();
  final FakeTableStore store = new FakeTableStore(time);
  VirtualTimers.View process = time.process();

  /** How long a start order waits for its connection, in milliseconds. */
  long connectMillis;

  /** Delay of an order about a run, in milliseconds. */
  long orderDelayMillis = 1;

  /** Whether all stop orders are lost. */
  boolean losesStops;

  /** Time at which each run began. */
  final List<Long> starts = new ArrayList<>();

  /** Number of start orders that were not sent. */
  int notSent;

  /** Number of start orders that arrived after the end of their lease. */
  int lateOrders;

  private final VirtualTimers.View others = time.process();
  private final Map<RowKey, Long> written = new HashMap<>();
  private final Map<RunKey, Long> running = new HashMap<>();
  private final Map<TaskName, Integer> lastRunNumbers = new HashMap<>();
  private final List<WorkerReport.Completion> completions = new ArrayList<>();
  private long completionCount;
  private long leaseEndMillis;
  private boolean draining;
  JobEntry entry;

  StartsSimulation() {
    restart();
    time.run(500);
    entry.intake().submit(TestJobs.job(JOB, TASKS), OptionalLong.empty(), answer -> {});
    time.run(500);
  }

  /** Kills the process of the instance and starts another. */
  void restart() {
    process.killed = true;
    process = time.process();
    WatchedStore watched = new WatchedStore(store.seenBy(process, call -> true), process);
    entry = new JobEntry(TestJobs.INSTANCE, 120_000, watched, process, rules(), this, this);
    entry.start();
  }

  /** Writes a row as another instance, the operator or the worker does. */
  void write(RowKey row) {
    Transaction change = new Transaction(Map.of(), Map.of(row, Payload.of("now")), List.of());
    store
        .seenBy(others, call -> true)
        .commit(change, 1_000, result -> written.put(row, others.now().mono()));
  }

  /** Writes a row after a delay, as others do. */
  void writeAfter(long millis, RowKey row) {
    others.after(millis, () -> write(row));
  }

  /** Suspends the process of the instance after a delay; its monotonic clock may stop meanwhile. */
  void pauseAfter(long millis, long pauseMillis, boolean clockToo) {
    others.after(millis, () -> process.pause(pauseMillis, clockToo));
  }

  /** Sets the wall clock of the instance forward or back after a delay. */
  void jumpClockAfter(long millis, long jumpMillis) {
    others.after(millis, () -> process.clockOffsetMillis = jumpMillis);
  }

  /** Delays orders about runs that are sent after a given time. */
  void delayOrdersAfter(long millis, long delayMillis) {
    others.after(millis, () -> orderDelayMillis = delayMillis);
  }

  /** Returns how long after a row was stored the last run began; 0 if none did. */
  long lastStartAfter(RowKey row) {
    return starts.stream().mapToLong(at -> at - written.get(row)).max().orElse(0);
  }

  private RuleSource rules() {
    TableStore seen = store.seenBy(process, call -> true);
    return new RuleSource() {
      private TableWatcher watcher;

      @Override
      public void start(Consumer<JobTable> tables, Consumer<Set<DataCentreId>> evacuations) {
        tables.accept(new JobTable(1, List.of(TestJobs.QUEUE), List.of()));
        Consumer<Row> onRow = row -> evacuations.accept(Set.of(new DataCentreId("dc")));
        watcher = new TableWatcher(seen, process, "op", List.of(""), onRow, () -> {});
        watcher.start();
      }

      @Override
      public long lastContactMillis() {
        return watcher.lastContactMillis();
      }

      @Override
      public Moment lastRequestSent() {
        return watcher.lastRequestSent();
      }

      @Override
      public void refreshAfterClockJump() {
        watcher.refreshAfterClockJump();
      }
    };
  }

  @Override
  public TableWatcher watcher(Consumer<JobEvent> listener, Runnable onCurrent) {
    Consumer<Row> onRow =
        row -> {
          draining = true;
          replay(listener);
        };
    TableStore seen = store.seenBy(process, call -> true);
    return new TableWatcher(seen, process, "workers", List.of(""), onRow, onCurrent);
  }

  @Override
  public void replay(Consumer<JobEvent> listener) {
    listener.accept(
        new JobEvent.WorkerSeen(
            new WorkerInfo(
                WorkerIncarnation.withUniqueIdentifier(new WorkerId("w")),
                "pool",
                "w:1",
                new DataCentreId("dc"),
                new Resources(1_000, 10_000, 0),
                List.of(),
                draining)));
  }

  @Override
  public void start(
      JobEffect.StartRun start, long epoch, BooleanSupplier allowed, Consumer<StartResult> done) {
    process.after(connectMillis, () -> connected(start, allowed, done));
  }

  private void connected(
      JobEffect.StartRun start, BooleanSupplier allowed, Consumer<StartResult> done) {
    if (!allowed.getAsBoolean()) {
      notSent++;
      done.accept(StartResult.NOT_SENT);
      return;
    }
    boolean answers = orderDelayMillis < ORDER_TIMEOUT_MILLIS;
    others.after(
        orderDelayMillis,
        () -> {
          StartResult result = begin(start);
          if (answers) {
            process.after(1, () -> done.accept(result));
          }
        });
    if (!answers) {
      process.after(ORDER_TIMEOUT_MILLIS, () -> done.accept(StartResult.UNKNOWN));
    }
  }

  private StartResult begin(JobEffect.StartRun start) {
    long now = others.now().mono();
    RunKey run = start.run();
    if (running.containsKey(run)) {
      return StartResult.STARTED;
    }
    if (run.run() <= lastRunNumbers.getOrDefault(run.task(), 0)) {
      return StartResult.OLD;
    }
    if (start.deadlineMillis() <= now) {
      lateOrders++;
      return StartResult.LATE;
    }
    leaseEndMillis = Math.max(leaseEndMillis, start.deadlineMillis());
    starts.add(now);
    running.put(run, now);
    others.after(WORK_MILLIS, () -> end(run, WorkerReport.CompletionStatus.DONE));
    return StartResult.STARTED;
  }

  private void end(RunKey run, WorkerReport.CompletionStatus status) {
    lastRunNumbers.merge(run.task(), run.run(), Math::max);
    if (running.remove(run) != null) {
      completionCount++;
      boolean expired = others.now().mono() > leaseEndMillis;
      WorkerReport.CompletionStatus reported =
          expired ? WorkerReport.CompletionStatus.LAPSED : status;
      completions.add(
          new WorkerReport.Completion(completionCount, run.task(), run.run(), reported, ""));
    }
  }

  /** Returns how many runs ended because no lease was in force. */
  long expired() {
    return completions.stream()
        .filter(completion -> completion.status() == WorkerReport.CompletionStatus.LAPSED)
        .count();
  }

  @Override
  public void stop(JobEffect.StopRun stop, long epoch, Consumer<Boolean> done) {
    boolean answers = orderDelayMillis < ORDER_TIMEOUT_MILLIS && !losesStops;
    others.after(
        losesStops ? NEVER_MILLIS : orderDelayMillis,
        () -> end(stop.run(), WorkerReport.CompletionStatus.STOPPED));
    process.after(
        answers ? orderDelayMillis + 1 : ORDER_TIMEOUT_MILLIS, () -> done.accept(answers));
  }

  @Override
  public void abandonPolls() {}

  @Override
  public void pace(JobEffect.PaceRun pace, long epoch, Consumer<Boolean> done) {
    process.after(2, () -> done.accept(true));
  }

  @Override
  public void poll(
      JobEffect.LookAtWorker poll, long epoch, BooleanSupplier allowed, Consumer<PollResult> done) {
    leaseEndMillis = Math.max(leaseEndMillis, poll.leaseEndMillis());
    others.after(
        Math.max(2, Math.min(poll.waitMillis(), POLL_MILLIS)),
        () -> {
          List<WorkerReport.Running> list =
              running.keySet().stream()
                  .map(run -> new WorkerReport.Running(run.task(), run.run(), "", 50, 0))
                  .toList();
          List<WorkerReport.Completion> newCompletions =
              completions.stream()
                  .filter(completion -> completion.number() > poll.acknowledged())
                  .toList();
          long clock = others.now().mono();
          WorkerReport report =
              new WorkerReport(WorkerIncarnation.UNKNOWN_START_TIME, clock, list, newCompletions);
          process.after(0, () -> done.accept(new PollResult(PollResult.Outcome.ANSWERED, report)));
        });
  }

  /** Writes cancellations of unknown jobs, one per given interval in milliseconds. */
  void writeOtherCancellations(long eachMillis, long forMillis) {
    IntStream.range(0, (int) (forMillis / eachMillis))
        .forEach(i -> writeAfter(i * eachMillis, JobTables.cancel(new JobId("other" + i))));
  }
}
