package org.cottontack.daemon.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.cottontack.core.Moment;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.job.JobEffect;
import org.cottontack.core.job.JobEvent;
import org.cottontack.core.job.JobId;
import org.cottontack.core.job.JobSpec;
import org.cottontack.core.job.JobTable;
import org.cottontack.core.job.Resources;
import org.cottontack.core.job.RunKey;
import org.cottontack.core.job.StartResult;
import org.cottontack.core.job.WorkerIncarnation;
import org.cottontack.core.job.WorkerInfo;
import org.cottontack.core.job.WorkerReport;
import org.cottontack.core.peer.Payload;

/**
 * One instance over a fake store, with one worker whose runs never end, and idle workers that
 * report when the test lets them.
 */
final class LeaderSimulation implements WorkerRegistry, WorkerClient {
  private static final long POLL_TIMEOUT_MILLIS = 800;
  private static final long START_TIMEOUT_MILLIS = 900;

  /** Returns a job of one task. */
  static JobSpec job(String id) {
    return TestJobs.job(new JobId(id), 1);
  }

  final VirtualTimers time = new VirtualTimers();
  final FakeTableStore store = new FakeTableStore(time);
  VirtualTimers.View process = time.process();
  final List<RunKey> starts = new ArrayList<>();
  final List<Long> startMillis = new ArrayList<>();
  final Map<RunKey, Boolean> running = new HashMap<>();
  String unansweredCall = "nothing";

  /** Notifies the instance of the evacuated data centres. */
  Consumer<Set<DataCentreId>> operator;

  Set<DataCentreId> evacuated = Set.of();

  /** When the last request for the rules was sent, or 0 for the current time. */
  long rulesMillis;

  /** How long a start order waits for its connection, in milliseconds. */
  long connectMillis;

  /** How long a poll waits for its connection, in milliseconds. */
  long pollConnectMillis;

  /** Called when a poll begins to wait for its connection. */
  Runnable onPoll = () -> {};

  /** The longest time from the decision of a poll until it was sent, in milliseconds. */
  long longestPollDelayMillis;

  int pollsSent;

  /** Whether the worker answers no more polls. */
  boolean workerLost;

  /** Whether the worker is about to leave. */
  private boolean draining;

  /** Notifies the leader of changes of the worker's registry entry. */
  private Consumer<JobEvent> registryListener;

  /** Whether the runs on the worker are done when it answers the next poll. */
  boolean completesRuns;

  /** Checkpoint of runs that are done. */
  String checkpoint = "";

  /** How often the leader has abandoned its polls. */
  private int abandoned;

  /** Called after a poll has been answered. */
  Runnable onAnswered = () -> {};

  /** How the worker answers a start, by the number of starts before it. */
  IntFunction<StartResult> startResults = number -> StartResult.STARTED;

  /** Called when a start is ordered. */
  Runnable onStart = () -> {};

  private static final WorkerId WORKER = new WorkerId("w");
  private final int idleWorkers;
  private final List<Runnable> heldReports = new ArrayList<>();

  private final List<WorkerReport.Completion> completions = new ArrayList<>();

  JobEntry entry;

  LeaderSimulation() {
    this(0);
  }

  LeaderSimulation(int idleWorkers) {
    this.idleWorkers = idleWorkers;
    restart();
  }

  /** Lets all idle workers that were polled report at the same time. */
  void reportTogether(long afterMillis) {
    List<Runnable> reports = List.copyOf(heldReports);
    heldReports.clear();
    reports.forEach(report -> process.after(afterMillis, report));
  }

  /** Kills the process of the instance and starts another. */
  void restart() {
    process.killed = true;
    process = time.process();
    TableStore seen = store.seenBy(process, call -> !call.equals(unansweredCall));
    WatchedStore watched = new WatchedStore(seen, process);
    entry = new JobEntry(TestJobs.INSTANCE, 120_000, watched, process, rules(), this, this);
    entry.start();
    time.run(500);
  }

  void write(RowKey row, String text) {
    write(Map.of(row, Payload.of(text)));
  }

  void write(Map<RowKey, Payload> rows) {
    store.writeAll(rows);
    time.run(100);
  }

  void submit(String id) {
    submit(job(id));
  }

  void submit(JobSpec job) {
    entry.intake().submit(job, OptionalLong.empty(), answer -> {});
  }

  private RuleSource rules() {
    return new RuleSource() {
      @Override
      public void start(Consumer<JobTable> tables, Consumer<Set<DataCentreId>> evacuations) {
        operator = evacuations;
        operator.accept(evacuated);
        tables.accept(new JobTable(1, List.of(TestJobs.QUEUE), List.of()));
      }

      @Override
      public long lastContactMillis() {
        return lastRequestSent().mono();
      }

      @Override
      public Moment lastRequestSent() {
        return rulesMillis > 0 ? new Moment(rulesMillis, rulesMillis) : process.now();
      }

      @Override
      public void refreshAfterClockJump() {}
    };
  }

  @Override
  public TableWatcher watcher(Consumer<JobEvent> listener, Runnable onCurrent) {
    registryListener = listener;
    TableStore seen = store.seenBy(process, call -> true);
    return new TableWatcher(seen, process, "workers", List.of("all"), row -> {}, onCurrent);
  }

  @Override
  public void replay(Consumer<JobEvent> listener) {
    listener.accept(new JobEvent.WorkerSeen(info(WORKER, new Resources(32_000, 10_000, 0))));
    IntStream.range(0, idleWorkers)
        .mapToObj(number -> info(new WorkerId("idle" + number), Resources.NONE))
        .forEach(idle -> listener.accept(new JobEvent.WorkerSeen(idle)));
  }

  private WorkerInfo info(WorkerId id, Resources capacity) {
    return new WorkerInfo(
        WorkerIncarnation.withUniqueIdentifier(id),
        "pool",
        id.value() + ":1",
        new DataCentreId("dc"),
        capacity,
        List.of(),
        draining);
  }

  /** Lets the worker announce that it leaves. */
  void drain() {
    draining = true;
    replay(registryListener);
  }

  @Override
  public void start(
      JobEffect.StartRun start, long epoch, BooleanSupplier allowed, Consumer<StartResult> done) {
    onStart.run();
    process.after(connectMillis, () -> connected(start, allowed, done));
  }

  private void connected(
      JobEffect.StartRun start, BooleanSupplier allowed, Consumer<StartResult> done) {
    if (!allowed.getAsBoolean()) {
      process.after(2, () -> done.accept(StartResult.NOT_SENT));
      return;
    }
    StartResult result = startResults.apply(starts.size());
    starts.add(start.run());
    startMillis.add(process.now().mono());
    if (result == StartResult.STARTED) {
      running.put(start.run(), true);
    }
    process.after(result.certain() ? 2 : START_TIMEOUT_MILLIS, () -> done.accept(result));
  }

  @Override
  public void stop(JobEffect.StopRun stop, long epoch, Consumer<Boolean> done) {
    running.remove(stop.run());
    process.after(2, () -> done.accept(true));
  }

  @Override
  public void pace(JobEffect.PaceRun pace, long epoch, Consumer<Boolean> done) {
    process.after(2, () -> done.accept(true));
  }

  @Override
  public void poll(
      JobEffect.LookAtWorker poll, long epoch, BooleanSupplier allowed, Consumer<PollResult> done) {
    if (!poll.target().incarnation().worker().equals(WORKER)) {
      heldReports.add(() -> done.accept(answer(List.of(), List.of())));
      return;
    }
    long decided = time.now();
    if (pollConnectMillis == 0) {
      sendPoll(poll, done, decided);
      return;
    }
    onPoll.run();
    process.after(
        pollConnectMillis,
        () -> {
          if (allowed.getAsBoolean()) {
            sendPoll(poll, done, decided);
          } else {
            done.accept(PollResult.of(PollResult.Outcome.SILENT));
          }
        });
  }

  private void sendPoll(JobEffect.LookAtWorker poll, Consumer<PollResult> done, long decided) {
    pollsSent++;
    longestPollDelayMillis = Math.max(longestPollDelayMillis, time.now() - decided);
    if (workerLost) {
      process.after(
          POLL_TIMEOUT_MILLIS, () -> done.accept(PollResult.of(PollResult.Outcome.SILENT)));
      return;
    }
    int abandonedBefore = abandoned;
    process.after(
        Math.max(2, poll.waitMillis()),
        () -> {
          if (abandoned > abandonedBefore) {
            done.accept(PollResult.of(PollResult.Outcome.SILENT));
            return;
          }
          completeRuns();
          List<WorkerReport.Running> list =
              running.keySet().stream()
                  .map(run -> new WorkerReport.Running(run.task(), run.run(), "", 100, 0))
                  .toList();
          done.accept(answer(list, completions));
          onAnswered.run();
        });
  }

  private PollResult answer(
      List<WorkerReport.Running> list, List<WorkerReport.Completion> completed) {
    return new PollResult(
        PollResult.Outcome.ANSWERED,
        new WorkerReport(
            WorkerIncarnation.UNKNOWN_START_TIME, process.now().mono(), list, completed));
  }

  @Override
  public void abandonPolls() {
    abandoned++;
  }

  private void completeRuns() {
    if (completesRuns) {
      running.keySet().forEach(this::complete);
      running.clear();
    }
  }

  private void complete(RunKey run) {
    completions.add(
        new WorkerReport.Completion(
            completions.size() + 1L,
            run.task(),
            run.run(),
            WorkerReport.CompletionStatus.DONE,
            checkpoint));
  }
}
