package org.cottontack.daemon.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongUnaryOperator;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.job.JobEffect;
import org.cottontack.core.job.Resources;
import org.cottontack.core.job.RunKey;
import org.cottontack.core.job.StartResult;
import org.cottontack.core.job.TaskName;
import org.cottontack.core.job.WorkerIncarnation;
import org.cottontack.core.job.WorkerInfo;
import org.cottontack.core.job.WorkerReport;

/**
 * A worker in virtual time with fencing tokens, leases and completions. Everything that has
 * happened by a time is carried out before an order that arrives at that time.
 */
final class LeasedWorker {

  /**
   * A run that was done.
   *
   * @param run the run
   * @param doneMillis when it was done
   */
  record DoneRun(RunKey run, long doneMillis) {}

  private static final long CORES = 4;

  final WorkerInfo info;

  /** When each run first started here. */
  final Map<RunKey, Long> startedMillis = new HashMap<>();

  /** Runs in progress, with the time at which each of them is done. */
  final Map<RunKey, Long> running = new HashMap<>();

  /** Runs whose acknowledgement is final, because the lease did not lapse before it. */
  final List<DoneRun> finallyDone = new ArrayList<>();

  /** Longest lease, in milliseconds; a longer one is shortened to this. */
  long maxLeaseMillis = 6_000;

  /** Rate of its steady clock relative to ours. */
  double speed = 1;

  private final Map<TaskName, Integer> refusedUpTo = new HashMap<>();
  private final List<WorkerReport.Completion> completions = new ArrayList<>();
  private final TreeMap<Long, DoneRun> doneSinceLapse = new TreeMap<>();
  private long token;
  private long lastCompletion;
  private long acknowledged;
  private long leaseEndMillis;

  LeasedWorker(String id, String dataCentre) {
    info =
        new WorkerInfo(
            WorkerIncarnation.withUniqueIdentifier(new WorkerId(id)),
            TestJobs.QUEUE.pool(),
            id + ":1",
            new DataCentreId(dataCentre),
            new Resources(1_000 * CORES, 100_000, 0),
            List.of(),
            false);
  }

  String id() {
    return info.id().value();
  }

  private long clock(long now) {
    return (long) (speed * now);
  }

  /** Returns whether a lease is in force, so that runs and completions count. */
  boolean leased(long now) {
    return clock(now) <= leaseEndMillis;
  }

  /** Returns when the lease ends, in virtual time. */
  long leaseEndMillis() {
    return (long) (leaseEndMillis / speed);
  }

  /** Carries out all that has happened by now: ends of runs, and the end of the lease. */
  void advance(long now) {
    running.entrySet().stream()
        .filter(run -> run.getValue() <= now && leased(run.getValue()))
        .sorted(Map.Entry.comparingByValue(Comparator.naturalOrder()))
        .toList()
        .forEach(
            run -> {
              doneSinceLapse.put(lastCompletion + 1, new DoneRun(run.getKey(), run.getValue()));
              end(run.getKey(), WorkerReport.CompletionStatus.DONE);
            });
    if (!leased(now)) {
      List.copyOf(running.keySet()).forEach(run -> end(run, WorkerReport.CompletionStatus.LAPSED));
      doneSinceLapse.clear();
    }
  }

  private void end(RunKey run, WorkerReport.CompletionStatus status) {
    running.remove(run);
    refusedUpTo.merge(run.task(), run.run(), Math::max);
    lastCompletion++;
    completions.add(new WorkerReport.Completion(lastCompletion, run.task(), run.run(), status, ""));
  }

  private void extendLease(long untilMillis, long now) {
    leaseEndMillis = Math.max(leaseEndMillis, Math.min(untilMillis, clock(now) + maxLeaseMillis));
  }

  StartResult start(JobEffect.StartRun start, long epoch, long now, LongUnaryOperator duration) {
    advance(now);
    long orderToken = start.target().fencingToken(epoch);
    RunKey run = start.run();
    if (orderToken < token) {
      return StartResult.FENCED;
    }
    token = orderToken;
    if (running.containsKey(run)) {
      return StartResult.STARTED;
    }
    if (run.run() <= refusedUpTo.getOrDefault(run.task(), 0)) {
      extendLease(start.deadlineMillis(), now);
      return StartResult.OLD;
    }
    if (start.deadlineMillis() <= clock(now)) {
      return StartResult.LATE;
    }
    extendLease(start.deadlineMillis(), now);
    startedMillis.putIfAbsent(run, now);
    running.put(run, duration.applyAsLong(now));
    return StartResult.STARTED;
  }

  /** Carries out a stop and returns whether it was accepted. */
  boolean stop(JobEffect.StopRun stop, long epoch, long now) {
    advance(now);
    long orderToken = stop.target().fencingToken(epoch);
    if (orderToken < token) {
      return false;
    }
    token = orderToken;
    refusedUpTo.merge(stop.run().task(), stop.run().run(), Math::max);
    if (running.containsKey(stop.run())) {
      end(stop.run(), WorkerReport.CompletionStatus.STOPPED);
    }
    return true;
  }

  /** Carries out a poll, except for its wait, and returns whether it was accepted. */
  boolean accept(JobEffect.LookAtWorker poll, long epoch, long now) {
    advance(now);
    long orderToken = poll.target().fencingToken(epoch);
    if (orderToken < token) {
      return false;
    }
    token = orderToken;
    extendLease(poll.leaseEndMillis(), now);
    acknowledged = Math.max(acknowledged, poll.acknowledged());
    completions.removeIf(completion -> completion.number() <= acknowledged);
    Map<Long, DoneRun> newlyAcknowledged = doneSinceLapse.headMap(acknowledged, true);
    finallyDone.addAll(newlyAcknowledged.values());
    newlyAcknowledged.clear();
    return true;
  }

  /** Returns whether a completion is listed, so that a poll is answered without a wait. */
  boolean listsCompletions(long now) {
    advance(now);
    return !completions.isEmpty();
  }

  WorkerReport report(long now) {
    advance(now);
    return new WorkerReport(
        WorkerIncarnation.UNKNOWN_START_TIME,
        clock(now),
        running.keySet().stream()
            .map(
                run ->
                    new WorkerReport.Running(run.task(), run.run(), "", (int) (now / 20 % 99), 0))
            .toList(),
        completions);
  }

  /** Returns a run of a task in progress. */
  Optional<RunKey> runOf(TaskName task) {
    return running.keySet().stream().filter(run -> run.task().equals(task)).findAny();
  }
}
