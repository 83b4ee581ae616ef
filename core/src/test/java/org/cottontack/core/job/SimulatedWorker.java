package org.cottontack.core.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.id.WorkerId;

/**
 * A worker in virtual time. It keeps fencing tokens, leases and completions, and refuses starts of
 * runs that were stopped.
 */
final class SimulatedWorker {

  /** Usual longest lease, in milliseconds. */
  private static final long MAX_LEASE_MILLIS = 10_000;

  /** Usual largest number of completions in one answer. */
  private static final int MAX_LISTED = 500;

  private static final class ActiveRun {
    final RunKey run;
    final long begunMillis;
    final long doneMillis;
    final Resources need;

    ActiveRun(RunKey run, long begunMillis, long doneMillis, Resources need) {
      this.run = run;
      this.begunMillis = begunMillis;
      this.doneMillis = doneMillis;
      this.need = need;
    }
  }

  /**
   * A run that was done or failed.
   *
   * @param run the run
   * @param doneMillis when it ended
   */
  record DoneRun(RunKey run, long doneMillis) {}

  final WorkerInfo info;
  final Map<RunKey, Integer> starts = new HashMap<>();

  /** When each run first started here. */
  final Map<RunKey, Long> startedMillis = new HashMap<>();

  final Map<String, Double> loads = new HashMap<>();
  boolean reachable = true;
  boolean dead;
  boolean failsAll;
  boolean stalls;

  /** Time in which a run progresses by one percent, in milliseconds; 0 to ignore its age. */
  long percentMillis;

  /** Longest lease, in milliseconds; a longer one is shortened to this. */
  long maxLeaseMillis = MAX_LEASE_MILLIS;

  /** Largest number of completions in one answer. */
  int maxListed = MAX_LISTED;

  /** Whether completions are dropped before they are listed. */
  boolean dropsCompletions;

  long token;

  /** Rate of its steady clock relative to ours. */
  double speed = 1;

  private final Map<RunKey, ActiveRun> running = new HashMap<>();

  /** Highest run of each task that ended or was stopped; starts of runs up to it are refused. */
  private final Map<TaskName, Integer> refusedUpTo = new HashMap<>();

  private final List<WorkerReport.Completion> completions = new ArrayList<>();
  private long lastCompletion;
  private long acknowledged;
  private long leaseEndMillis;
  private final long startTimeMillis;

  /** Runs that were done here, whether or not their completion was listed. */
  final Set<RunKey> done = new HashSet<>();

  /** Runs that failed here, whether or not their completion was listed. */
  final Set<RunKey> failed = new HashSet<>();

  /** Runs that were done since the lease last lapsed and are not acknowledged yet, by number. */
  private final TreeMap<Long, DoneRun> doneSinceLapse = new TreeMap<>();

  /** Runs whose acknowledgement is final, because the lease did not lapse before it. */
  final List<DoneRun> finallyDone = new ArrayList<>();

  /** Runs that failed since the lease last lapsed and are not acknowledged yet, by number. */
  private final TreeMap<Long, DoneRun> failedSinceLapse = new TreeMap<>();

  /** Failed runs whose acknowledgement is final, because the lease did not lapse before it. */
  final List<DoneRun> finallyFailed = new ArrayList<>();

  /** Tasks with an acknowledged completion as done. */
  final Set<TaskName> acknowledgedDone = new HashSet<>();

  SimulatedWorker(String id, long cores) {
    this(id, cores, id + ":1");
  }

  SimulatedWorker(String id, long cores, String address) {
    this(id, cores, address, "dc");
  }

  SimulatedWorker(String id, long cores, String address, String dataCentre) {
    this(id, cores, address, dataCentre, "pool");
  }

  SimulatedWorker(String id, long cores, String address, String dataCentre, String pool) {
    this(new WorkerIncarnation(new WorkerId(id), 1), cores, address, dataCentre, pool, 0);
  }

  private SimulatedWorker(
      WorkerIncarnation incarnation,
      long cores,
      String address,
      String dataCentre,
      String pool,
      long startTimeMillis) {
    this.startTimeMillis = startTimeMillis;
    this.info =
        new WorkerInfo(
            incarnation,
            pool,
            address,
            new DataCentreId(dataCentre),
            new Resources(1_000 * cores, 100_000, 0),
            List.of(),
            false);
  }

  /**
   * Returns a worker that takes a new identifier after a crash and does not state when it started.
   */
  static SimulatedWorker withUniqueIdentifier(
      String id, long cores, String address, String dataCentre, long now) {
    WorkerIncarnation incarnation = WorkerIncarnation.withUniqueIdentifier(new WorkerId(id));
    return new SimulatedWorker(incarnation, cores, address, dataCentre, "pool", now);
  }

  /** Returns such a worker of the only data centre. */
  static SimulatedWorker withUniqueIdentifier(String id, long cores) {
    return withUniqueIdentifier(id, cores, id + ":1", "dc", 0);
  }

  /** Returns the worker that takes this one's address after a crash. */
  SimulatedWorker nextIncarnation(String id, long now) {
    WorkerIncarnation incarnation =
        info.incarnation().identifierReusable()
            ? new WorkerIncarnation(new WorkerId(id), now + 1)
            : WorkerIncarnation.withUniqueIdentifier(new WorkerId(id));
    SimulatedWorker next =
        new SimulatedWorker(
            incarnation,
            info.capacity().cpuMillis() / 1_000,
            info.address(),
            info.dataCentre().value(),
            info.pool(),
            now);
    next.maxLeaseMillis = maxLeaseMillis;
    next.maxListed = maxListed;
    return next;
  }

  /**
   * Carries out a start order. The run is done after the given time, or fails if that is negative.
   */
  StartResult start(
      JobEffect.StartRun order, long orderToken, long now, long work, Resources need) {
    if (orderToken < token) {
      return StartResult.FENCED;
    }
    token = orderToken;
    if (running.containsKey(order.run())) {
      return StartResult.STARTED;
    }
    if (order.run().run() <= refusedUpTo.getOrDefault(order.run().task(), 0)) {
      extendLease(order.deadlineMillis(), now);
      return StartResult.OLD;
    }
    if (order.deadlineMillis() <= clock(now)) {
      return StartResult.LATE;
    }
    extendLease(order.deadlineMillis(), now);
    starts.merge(order.run(), 1, Integer::sum);
    startedMillis.putIfAbsent(order.run(), now);
    running.put(order.run(), new ActiveRun(order.run(), now, now + work, need));
    return StartResult.STARTED;
  }

  void stop(RunKey run, long orderToken) {
    if (orderToken < token) {
      return;
    }
    refusedUpTo.merge(run.task(), run.run(), Math::max);
    if (running.remove(run) != null) {
      end(run, WorkerReport.CompletionStatus.STOPPED);
    }
  }

  /** Stops all runs, as a worker does that is short of capacity. */
  void stopAll() {
    Set.copyOf(running.keySet()).forEach(run -> stop(run, token));
  }

  WorkerReport poll(JobEffect.LookAtWorker poll, long orderToken, long now) {
    token = Math.max(token, orderToken);
    if (orderToken == token) {
      extendLease(poll.leaseEndMillis(), now);
      acknowledged = Math.max(acknowledged, poll.acknowledged());
    }
    completions.stream()
        .filter(
            completion ->
                completion.number() <= acknowledged
                    && completion.status() == WorkerReport.CompletionStatus.DONE)
        .forEach(completion -> acknowledgedDone.add(completion.task()));
    completions.removeIf(completion -> completion.number() <= acknowledged);
    Map<Long, DoneRun> newlyAcknowledged = doneSinceLapse.headMap(acknowledged, true);
    finallyDone.addAll(newlyAcknowledged.values());
    newlyAcknowledged.clear();
    Map<Long, DoneRun> newlyFailed = failedSinceLapse.headMap(acknowledged, true);
    finallyFailed.addAll(newlyFailed.values());
    newlyFailed.clear();
    return report(now);
  }

  /** Returns what runs and what has ended, as in the answer to a poll. */
  WorkerReport report(long now) {
    List<WorkerReport.Running> list =
        running.values().stream()
            .map(
                active ->
                    new WorkerReport.Running(
                        active.run.task(),
                        active.run.run(),
                        checkpoint,
                        progress(active, now),
                        load(active.run)))
            .toList();
    List<WorkerReport.Completion> listed =
        completions.subList(0, Math.min(maxListed, completions.size()));
    return new WorkerReport(info.incarnation().startTimeMillis(), clock(now), list, listed);
  }

  long ageMillis(long now) {
    return now - startTimeMillis;
  }

  /** Returns whether a lease is in force. */
  boolean leased(long now) {
    return clock(now) <= leaseEndMillis;
  }

  private void extendLease(long untilMillis, long now) {
    leaseEndMillis = Math.max(leaseEndMillis, Math.min(untilMillis, clock(now) + maxLeaseMillis));
  }

  /** Returns its clock, which starts with the incarnation. */
  long clock(long now) {
    return (long) (speed * (now - startTimeMillis));
  }

  /** Returns the progress of runs, which rises all the time unless they stall. */
  private int progress(ActiveRun run, long now) {
    if (percentMillis > 0 && !stalls) {
      return (int) Math.min(99, (now - run.begunMillis) / percentMillis);
    }
    return stalls ? 3 : loads.isEmpty() ? (int) (now / 10 % 100) : Task.FULL_PROGRESS;
  }

  private double load(RunKey run) {
    return loads.getOrDefault(run.task().job().value(), 0.0);
  }

  /**
   * Advances the virtual time: ends runs that are done, and kills all runs when the lease expires.
   */
  void advance(long now, boolean fails) {
    Iterator<ActiveRun> runs = List.copyOf(running.values()).iterator();
    boolean expired = clock(now) > leaseEndMillis;
    runs.forEachRemaining(
        run -> {
          if (expired || (!stalls && now >= run.doneMillis)) {
            running.remove(run.run);
            refusedUpTo.merge(run.run.task(), run.run.run(), Math::max);
            WorkerReport.CompletionStatus status =
                expired ? WorkerReport.CompletionStatus.LAPSED : outcome(fails || failsAll);
            if (status == WorkerReport.CompletionStatus.DONE) {
              done.add(run.run);
              doneSinceLapse.put(lastCompletion + 1, new DoneRun(run.run, now));
            } else if (status == WorkerReport.CompletionStatus.FAILED) {
              failed.add(run.run);
              failedSinceLapse.put(lastCompletion + 1, new DoneRun(run.run, now));
            }
            end(run.run, status);
          }
        });
    if (expired) {
      doneSinceLapse.clear();
      failedSinceLapse.clear();
    }
  }

  private static WorkerReport.CompletionStatus outcome(boolean fails) {
    return fails ? WorkerReport.CompletionStatus.FAILED : WorkerReport.CompletionStatus.DONE;
  }

  private void end(RunKey run, WorkerReport.CompletionStatus status) {
    lastCompletion++;
    if (dropsCompletions) {
      return;
    }
    completions.add(
        new WorkerReport.Completion(lastCompletion, run.task(), run.run(), status, checkpoint));
  }

  boolean runs(TaskName task) {
    return !dead && running.keySet().stream().anyMatch(run -> run.task().equals(task));
  }

  /** Returns the runs in progress. */
  Set<RunKey> runs() {
    return dead ? Set.of() : Set.copyOf(running.keySet());
  }

  /** Returns whether an answer to a poll would list completions. */
  boolean listsCompletions() {
    return !completions.isEmpty();
  }

  /** Checkpoint of all its runs. */
  String checkpoint = "";

  int count() {
    return running.size();
  }

  Resources used() {
    return running.values().stream().map(run -> run.need).reduce(Resources.NONE, Resources::plus);
  }

  long lastAcknowledgedCompletion() {
    return acknowledged;
  }
}
