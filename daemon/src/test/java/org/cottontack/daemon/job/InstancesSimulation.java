package org.cottontack.daemon.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cottontack.core.Moment;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.job.Capacity;
import org.cottontack.core.job.JobEffect;
import org.cottontack.core.job.JobEvent;
import org.cottontack.core.job.JobId;
import org.cottontack.core.job.JobTable;
import org.cottontack.core.job.OrderTarget;
import org.cottontack.core.job.RunKey;
import org.cottontack.core.job.StartResult;
import org.cottontack.core.job.TaskName;
import org.cottontack.core.job.WorkerReport;
import org.cottontack.core.load.LoadControl;
import org.cottontack.core.peer.Payload;

/**
 * Several instances that share a store and workers, in virtual time. Which worker an instance
 * reaches can differ for each pair and each direction. A leader that was deposed without knowing it
 * goes on polling the workers that it reaches.
 */
final class InstancesSimulation {

  private static final long STEP_MILLIS = 5;
  private static final long ONE_WAY_MILLIS = 2;
  private static final long ORDER_TIMEOUT_MILLIS = 900;
  private static final long POLL_SLACK_MILLIS = 800;
  private static final long RETRY_WAIT_MILLIS = 5;
  private static final long KEEP_MILLIS = 120_000;

  /** Time after which a process that is asked to stop is killed, in milliseconds. */
  private static final long GRACE_MILLIS = 3_000;

  /** Number of events that a violation shows. */
  private static final int SHOWN_EVENTS = 200;

  final VirtualTimers time = new VirtualTimers();
  final FakeTableStore store = new FakeTableStore(time);
  final Map<String, LeasedWorker> workers = new LinkedHashMap<>();
  final List<Entry> entries = new ArrayList<>();

  /** What has happened so far, each with its time. */
  private final List<String> trace = new ArrayList<>();

  /** The load control of processes that begin. */
  LoadControl loadControl = LoadControl.OFF;

  /** How long each new run works, in milliseconds. */
  LongSupplier workMillis = () -> 500;

  /**
   * Delay after which an order is carried out without an answer, in milliseconds; 0 for normal
   * handling.
   */
  ToLongFunction<JobEffect> delayMillis = effect -> 0;

  /** Extra time that the answer to an order takes, in milliseconds. */
  ToLongFunction<JobEffect> answerDelayMillis = effect -> 0;

  /** Whether the bytes of a call are held up by a cut, and delivered once it heals. */
  BooleanSupplier holdsBytes = () -> false;

  /** How long after the end of a cut held up bytes arrive, in milliseconds. */
  LongSupplier heldMillis = () -> ONE_WAY_MILLIS;

  private final VirtualTimers.View world = time.process();

  /** Runs of which some leader has learned that they have ended or are missing. */
  private final Set<RunKey> knownToBeOver = new HashSet<>();

  InstancesSimulation(List<LeasedWorker> all) {
    all.forEach(worker -> workers.put(worker.id(), worker));
    Map<RowKey, Payload> rows = new HashMap<>();
    all.forEach(worker -> rows.put(listing(worker), Payload.of("1")));
    write(rows, List.of());
  }

  static RowKey listing(LeasedWorker worker) {
    return new RowKey("workers", "all", worker.id());
  }

  void write(Map<RowKey, Payload> writes, List<RowKey> removals) {
    store
        .seenBy(world, call -> true)
        .commit(new Transaction(Map.of(), writes, removals), 1_000, result -> {});
  }

  long now() {
    return time.now();
  }

  void log(String event) {
    trace.add(now() + " " + event);
  }

  Entry entry(String name, String dataCentre) {
    return entry(name, dataCentre, new Capacity(1_000, 100_000));
  }

  Entry entry(String name, String dataCentre, Capacity capacity) {
    Entry entry = new Entry(name, dataCentre, capacity);
    entries.add(entry);
    return entry;
  }

  /** Does something at a time from now on. */
  void after(long millis, Runnable action) {
    world.after(millis, action);
  }

  /** Advances the virtual time and checks the invariants at every step. */
  void run(long millis) {
    long end = now() + millis;
    while (now() < end) {
      time.run(Math.min(STEP_MILLIS, end - now()));
      workers.values().forEach(worker -> worker.advance(now()));
      checkRuns();
    }
  }

  private void checkRuns() {
    Map<TaskName, Long> running =
        workers.values().stream()
            .flatMap(worker -> worker.running.keySet().stream())
            .collect(Collectors.groupingBy(RunKey::task, Collectors.counting()));
    running.forEach(
        (task, runs) -> {
          if (runs > 1) {
            throw violation(task + " runs " + runs + " times");
          }
        });
    for (LeasedWorker worker : workers.values()) {
      worker.finallyDone.forEach(this::checkNotStartedSince);
      worker.finallyDone.clear();
    }
  }

  private void checkNotStartedSince(LeasedWorker.DoneRun done) {
    starts(done.run().task())
        .filter(start -> start.getValue() > done.doneMillis())
        .findAny()
        .ifPresent(
            start -> {
              throw violation(start.getKey() + " began after the final end of " + done);
            });
  }

  private Stream<Map.Entry<RunKey, Long>> starts(TaskName task) {
    return workers.values().stream()
        .flatMap(worker -> worker.startedMillis.entrySet().stream())
        .filter(start -> start.getKey().task().equals(task));
  }

  /**
   * Checks that no start is sent while an earlier run of its task, of which nobody knows that it is
   * over, or its completion is covered by a lease: that lease outlasts what the leader waited for.
   */
  private void checkSent(Entry from, JobEffect.StartRun start) {
    workers.values().stream()
        .filter(worker -> !worker.info.id().equals(start.target().incarnation().worker()))
        .forEach(
            worker -> {
              worker.advance(now());
              worker.startedMillis.keySet().stream()
                  .filter(run -> run.task().equals(start.run().task()))
                  .filter(run -> run.run() < start.run().run())
                  .filter(run -> !knownToBeOver.contains(run) && worker.leased(now()))
                  .forEach(
                      run -> {
                        throw violation(
                            "%s is started by %s while %s on %s is leased until %d"
                                .formatted(
                                    start.run(),
                                    from.name,
                                    run,
                                    worker.id(),
                                    worker.leaseEndMillis()));
                      });
            });
  }

  AssertionError violation(String what) {
    int from = Math.max(0, trace.size() - SHOWN_EVENTS);
    return new AssertionError(
        what + " at " + now() + "\n" + String.join("\n", trace.subList(from, trace.size())));
  }

  /** One instance, whose processes follow each other. */
  final class Entry {
    final String name;
    final String dataCentre;
    final Capacity capacity;
    final Set<String> ordersCut = new HashSet<>();
    final Set<String> answersCut = new HashSet<>();
    boolean reachesStore = true;
    boolean ending;
    private final List<Runnable> held = new ArrayList<>();
    VirtualTimers.View process;
    JobEntry jobs;

    Entry(String name, String dataCentre, Capacity capacity) {
      this.name = name;
      this.dataCentre = dataCentre;
      this.capacity = capacity;
      begin();
    }

    /** Begins a process. */
    void begin() {
      ending = false;
      process = time.process();
      Link link = new Link(this, process);
      WatchedStore watched = new WatchedStore(link.store(), process);
      Instance instance = new Instance(name, dataCentre, capacity, loadControl);
      jobs = new JobEntry(instance, KEEP_MILLIS, watched, process, link, link, link);
      jobs.start();
      log(name + " begins");
    }

    /** Kills the process and begins another. */
    void kill(long restartMillis) {
      if (ending) {
        return;
      }
      ending = true;
      process.killed = true;
      log(name + " is killed");
      world.after(restartMillis, this::begin);
    }

    /** Stops the process gracefully and begins another. */
    void restart(long restartMillis) {
      if (ending) {
        return;
      }
      ending = true;
      log(name + " is asked to stop");
      final VirtualTimers.View stopping = process;
      boolean[] done = {false};
      Runnable next =
          () -> {
            if (!done[0]) {
              done[0] = true;
              stopping.killed = true;
              log(name + " has stopped");
              world.after(restartMillis, this::begin);
            }
          };
      jobs.stop(next);
      world.after(GRACE_MILLIS, next);
    }

    /** Keeps the bytes that a process has sent until the cut heals. */
    private void hold(VirtualTimers.View sender, Runnable arrival) {
      held.add(
          () -> {
            if (!sender.killed) {
              world.after(heldMillis.getAsLong(), arrival);
            }
          });
    }

    /** Ends all cuts of this instance. */
    void heal() {
      ordersCut.clear();
      answersCut.clear();
      reachesStore = true;
      List<Runnable> arrivals = List.copyOf(held);
      held.clear();
      arrivals.forEach(Runnable::run);
    }

    boolean leads() {
      return !process.killed && jobs.leadingEpoch() > 0;
    }

    void submit(String id, int tasks) {
      jobs.intake().submit(TestJobs.job(new JobId(id), tasks), OptionalLong.empty(), answer -> {});
    }
  }

  /** What one process exchanges with others. */
  private final class Link implements WorkerClient, WorkerRegistry, RuleSource {
    private final Entry entry;
    private final VirtualTimers.View process;
    private final Set<String> listed = new HashSet<>();
    private Moment rulesAsked;

    Link(Entry entry, VirtualTimers.View process) {
      this.entry = entry;
      this.process = process;
      this.rulesAsked = process.now();
      askRules();
    }

    private void askRules() {
      rulesAsked = entry.reachesStore ? process.now() : rulesAsked;
      process.after(500, this::askRules);
    }

    TableStore store() {
      TableStore seen = store.seenBy(process, call -> entry.reachesStore);
      TableStore late = store.seenBy(world, call -> true);
      return new TableStore() {
        @Override
        public void commit(
            Transaction transaction, long timeoutMillis, Consumer<CommitResult> done) {
          if (!entry.reachesStore && holdsBytes.getAsBoolean()) {
            entry.hold(process, () -> late.commit(transaction, timeoutMillis, result -> {}));
          }
          seen.commit(transaction, timeoutMillis, done);
        }

        @Override
        public void scan(String table, String part, String prefix, Consumer<Scan> done) {
          seen.scan(table, part, prefix, done);
        }

        @Override
        public void watch(String table, long after, long waitMillis, Consumer<Changes> done) {
          seen.watch(table, after, waitMillis, done);
        }
      };
    }

    @Override
    public long lastContactMillis() {
      return rulesAsked.mono();
    }

    @Override
    public Moment lastRequestSent() {
      return rulesAsked;
    }

    @Override
    public void refreshAfterClockJump() {}

    @Override
    public TableWatcher watcher(Consumer<JobEvent> listener, Runnable onCurrent) {
      listed.clear();
      return new TableWatcher(
          store(),
          process,
          "workers",
          List.of("all"),
          row -> {
            LeasedWorker worker = workers.get(row.key());
            if (row.removed()) {
              listed.remove(row.key());
              listener.accept(new JobEvent.WorkerUnlisted(worker.info.incarnation()));
            } else {
              listed.add(row.key());
              listener.accept(new JobEvent.WorkerSeen(worker.info));
            }
          },
          onCurrent);
    }

    @Override
    public void replay(Consumer<JobEvent> listener) {
      listed.stream()
          .sorted()
          .forEach(id -> listener.accept(new JobEvent.WorkerSeen(workers.get(id).info)));
    }

    /**
     * Sends an order.
     *
     * @param arrive carries out the order at the worker
     * @param answer returns the worker's answer, or null while it waits
     */
    private <T> void call(
        JobEffect order,
        LeasedWorker worker,
        long timeoutMillis,
        T none,
        Runnable arrive,
        Supplier<T> answer,
        Consumer<T> done) {
      boolean[] completed = {false};
      Consumer<T> once =
          result -> {
            if (!completed[0]) {
              completed[0] = true;
              done.accept(result);
            }
          };
      process.after(timeoutMillis, () -> once.accept(none));
      final long delay = delayMillis.applyAsLong(order);
      final long answerDelay = answerDelayMillis.applyAsLong(order);
      world.after(
          delay > 0 ? delay : ONE_WAY_MILLIS,
          () -> {
            if (delay > 0) {
              arrive.run();
              return;
            }
            Runnable arrival =
                () -> {
                  arrive.run();
                  await(worker, answerDelay, answer, once);
                };
            if (!entry.ordersCut.contains(worker.id())) {
              arrival.run();
            } else if (holdsBytes.getAsBoolean()) {
              entry.hold(process, arrival);
            }
          });
    }

    private <T> void await(
        LeasedWorker worker, long answerDelay, Supplier<T> answer, Consumer<T> once) {
      T result = answer.get();
      if (result == null) {
        world.after(RETRY_WAIT_MILLIS, () -> await(worker, answerDelay, answer, once));
      } else {
        world.after(
            ONE_WAY_MILLIS + answerDelay,
            () -> {
              if (!entry.answersCut.contains(worker.id())) {
                process.after(0, () -> once.accept(result));
              } else if (holdsBytes.getAsBoolean()) {
                entry.hold(process, () -> process.after(0, () -> once.accept(result)));
              }
            });
      }
    }

    private LeasedWorker worker(OrderTarget target) {
      return workers.get(target.incarnation().worker().value());
    }

    @Override
    public void start(Consumer<JobTable> tables, Consumer<Set<DataCentreId>> evacuations) {
      tables.accept(new JobTable(1, List.of(TestJobs.QUEUE), List.of()));
    }

    @Override
    public void start(
        JobEffect.StartRun start, long epoch, BooleanSupplier allowed, Consumer<StartResult> done) {
      if (!allowed.getAsBoolean()) {
        process.after(1, () -> done.accept(StartResult.NOT_SENT));
        return;
      }
      LeasedWorker worker = worker(start.target());
      log(
          "%s (epoch %d) starts %s on %s until %d"
              .formatted(entry.name, epoch, start.run(), worker.id(), start.deadlineMillis()));
      checkSent(entry, start);
      StartResult[] result = new StartResult[1];
      call(
          start,
          worker,
          ORDER_TIMEOUT_MILLIS,
          StartResult.UNKNOWN,
          () -> {
            result[0] =
                worker.start(start, epoch, now(), millis -> millis + workMillis.getAsLong());
            log(worker.id() + " was told to start " + start.run() + ": " + result[0]);
          },
          () -> result[0],
          done);
    }

    @Override
    public void stop(JobEffect.StopRun stop, long epoch, Consumer<Boolean> done) {
      LeasedWorker worker = worker(stop.target());
      log(entry.name + " stops " + stop.run() + " on " + worker.id());
      Boolean[] result = new Boolean[1];
      call(
          stop,
          worker,
          ORDER_TIMEOUT_MILLIS,
          false,
          () -> result[0] = worker.stop(stop, epoch, now()),
          () -> result[0],
          done);
    }

    @Override
    public void abandonPolls() {}

    @Override
    public void pace(JobEffect.PaceRun pace, long epoch, Consumer<Boolean> done) {
      process.after(2, () -> done.accept(true));
    }

    @Override
    public void poll(
        JobEffect.LookAtWorker poll,
        long epoch,
        BooleanSupplier allowed,
        Consumer<PollResult> done) {
      if (!allowed.getAsBoolean()) {
        process.after(1, () -> done.accept(PollResult.of(PollResult.Outcome.SILENT)));
        return;
      }
      LeasedWorker worker = worker(poll.target());
      boolean[] accepted = new boolean[1];
      long[] arrived = new long[1];
      call(
          poll,
          worker,
          poll.waitMillis() + POLL_SLACK_MILLIS,
          PollResult.of(PollResult.Outcome.SILENT),
          () -> {
            accepted[0] = worker.accept(poll, epoch, now());
            arrived[0] = now();
            log(
                "%s polled by %s (epoch %d): accepted=%s lease=%d ack=%d, leased until %d"
                    .formatted(
                        worker.id(),
                        entry.name,
                        epoch,
                        accepted[0],
                        poll.leaseEndMillis(),
                        poll.acknowledged(),
                        worker.leaseEndMillis()));
          },
          () -> {
            if (!accepted[0]) {
              return PollResult.of(PollResult.Outcome.FENCED);
            }
            boolean waits =
                !worker.listsCompletions(now()) && now() < arrived[0] + poll.waitMillis();
            return waits ? null : new PollResult(PollResult.Outcome.ANSWERED, worker.report(now()));
          },
          result -> {
            if (result.outcome() == PollResult.Outcome.ANSWERED) {
              learn(worker, result.report());
            }
            done.accept(result);
          });
    }

    private void learn(LeasedWorker worker, WorkerReport report) {
      report.completions().stream()
          .map(completion -> new RunKey(completion.task(), completion.run()))
          .filter(knownToBeOver::add)
          .forEach(run -> log(entry.name + " reads the end of " + run + " on " + worker.id()));
    }
  }
}
