package org.cottontack.core.job;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.id.WorkerId;

/**
 * A worker of a replay. Serving tasks use a share of their reservation that follows the load of
 * their service. Best-effort tasks share what is left and slow the tails of serving tasks. A tail
 * is that of a queue: {@code base * k / (1 - load * k)}, where {@code k} is the factor by which the
 * tasks beside it lengthen each response.
 */
final class ReplayWorker {

  /** Number of steps in the last half second; the mean over these is reported. */
  private static final int WINDOW_STEPS = 500 / (int) Replay.STEP_MILLIS;

  /** Tail reported for a queue that grows without bound, in milliseconds. */
  private static final double MAX_TAIL_MILLIS = 10_000;

  /** Standard deviation of the logarithm of a reported tail. */
  private static final double TAIL_NOISE = 0.12;

  private static final long FAILS_AFTER_MILLIS = 150;
  private static final long STARTUP_MILLIS = 500;

  /** Work between two checkpoints, in milliseconds; a stop makes one as well. */
  private static final long SAVED_MILLIS = 2_000;

  /** Time until a run that resumes from a checkpoint begins to work. */
  private static final long RESTORE_MILLIS = 100;

  /** A run on this worker. */
  static final class Running {
    final RunKey run;
    final StepSpec spec;
    final ReplayLoad.Service service;
    final double workMillis;
    final long beganMillis;
    final boolean resumed;
    final double[] recent = new double[WINDOW_STEPS];
    private final Random phases;
    private boolean heavy;
    private long phaseEndMillis;
    double doneMillis;
    int pace = Task.FULL_PACE;
    double rate;
    boolean over;
    private boolean stopped;

    Running(
        RunKey run,
        StepSpec spec,
        ReplayLoad.Service service,
        double workMillis,
        double doneMillis,
        long now) {
      this.run = run;
      this.spec = spec;
      this.service = service;
      this.workMillis = workMillis;
      this.doneMillis = doneMillis;
      this.resumed = doneMillis > 0;
      this.beganMillis = now;
      this.phases = new Random(run.task().toString().hashCode() + 31L * run.run());
    }

    /**
     * Returns how much a best-effort task disturbs others now, from 0 to 1. Its work has phases of
     * some seconds.
     */
    double activity(long now) {
      if (now >= phaseEndMillis) {
        heavy = phases.nextDouble() < ReplayLoad.HEAVY_PHASES;
        double millis = -Math.log(1 - phases.nextDouble()) * ReplayLoad.PHASE_MILLIS;
        phaseEndMillis = now + (long) millis;
      }
      return heavy ? 1 : ReplayLoad.LIGHT_ACTIVITY;
    }

    boolean atWork(long now) {
      return now - beganMillis >= STARTUP_MILLIS;
    }

    double mean() {
      return Arrays.stream(recent).average().orElse(0);
    }

    String checkpoint() {
      boolean keeps = spec.is(StepSpec.Trait.CHECKPOINTS);
      long saved = stopped ? (long) doneMillis : (long) doneMillis / SAVED_MILLIS * SAVED_MILLIS;
      return keeps ? Long.toString(saved) : "";
    }
  }

  final WorkerInfo info;
  final Map<RunKey, Running> running = new HashMap<>();

  /** Speed of tasks here; 1 is the usual speed. */
  double speed = 1;

  /** Whether every run here that is not long-running fails soon after its start. */
  boolean failsAll;

  /** Work thrown away by stops and failures, in thousandths of a core times milliseconds. */
  double wasted;

  private final ReplayLoad load;
  private final List<WorkerReport.Completion> completions = new ArrayList<>();
  private final Random noise = new Random(5);
  private long completionCount;

  ReplayWorker(String id, long cores, String dataCentre, ReplayLoad load) {
    this.load = load;
    this.info =
        new WorkerInfo(
            WorkerIncarnation.withUniqueIdentifier(new WorkerId(id)),
            "pool",
            id + ":1",
            new DataCentreId(dataCentre),
            new Resources(1_000 * cores, 4_000 * cores, 0),
            List.of(),
            false);
  }

  void start(Running run) {
    running.putIfAbsent(run.run, run);
  }

  void stop(RunKey key) {
    Running run = running.remove(key);
    if (run != null) {
      run.stopped = true;
      double kept = run.checkpoint().isEmpty() ? 0 : Double.parseDouble(run.checkpoint());
      wasted += (run.doneMillis - kept) * run.spec.need().cpuMillis();
      end(run, WorkerReport.CompletionStatus.STOPPED);
    }
  }

  void pace(RunKey key, int percent) {
    Running run = running.get(key);
    if (run != null) {
      run.pace = percent;
    }
  }

  private void end(Running run, WorkerReport.CompletionStatus status) {
    completionCount++;
    completions.add(
        new WorkerReport.Completion(
            completionCount, run.run.task(), run.run.run(), status, run.checkpoint()));
  }

  boolean hasCompletions() {
    return !completions.isEmpty();
  }

  WorkerReport report(long acknowledged, long now) {
    completions.removeIf(completion -> completion.number() <= acknowledged);
    List<WorkerReport.Running> list =
        running.values().stream()
            .map(
                run ->
                    new WorkerReport.Running(
                        run.run.task(),
                        run.run.run(),
                        run.checkpoint(),
                        progress(run, now),
                        run.spec.serves() ? Math.round(withNoise(run.mean())) : run.mean()))
            .toList();
    return new WorkerReport(WorkerIncarnation.UNKNOWN_START_TIME, now, list, completions);
  }

  private double withNoise(double tail) {
    return tail * Math.exp(TAIL_NOISE * noise.nextGaussian());
  }

  private static int progress(Running run, long now) {
    if (run.spec.is(StepSpec.Trait.LASTS)) {
      return run.atWork(now) ? Task.FULL_PROGRESS : 0;
    }
    return (int) Math.min(99, 100 * run.doneMillis / run.workMillis);
  }

  /** Advances the worker by one step of time. */
  void advance(long now) {
    double left = info.capacity().cpuMillis() - reservedUse(now);
    double wanted =
        running.values().stream()
            .filter(run -> run.spec.is(StepSpec.Trait.FILLS))
            .mapToDouble(run -> run.spec.need().cpuMillis() * run.pace / 100.0)
            .sum();
    double granted = wanted <= 0 ? 0 : Math.min(1, Math.max(0, left) / wanted);
    int slot = (int) (now / Replay.STEP_MILLIS % WINDOW_STEPS);
    running.values().forEach(run -> work(run, granted, slot, now));
    List.copyOf(running.values()).stream()
        .filter(run -> run.doneMillis >= run.workMillis)
        .forEach(
            run -> {
              running.remove(run.run);
              end(run, WorkerReport.CompletionStatus.DONE);
            });
    if (failsAll) {
      fail(now);
    }
  }

  private void fail(long now) {
    List.copyOf(running.values()).stream()
        .filter(run -> !run.spec.is(StepSpec.Trait.LASTS))
        .filter(run -> now - run.beganMillis > FAILS_AFTER_MILLIS)
        .forEach(
            run -> {
              running.remove(run.run);
              wasted += run.doneMillis * run.spec.need().cpuMillis();
              end(run, WorkerReport.CompletionStatus.FAILED);
            });
  }

  private double reservedUse(long now) {
    return running.values().stream()
        .filter(run -> !run.spec.is(StepSpec.Trait.FILLS))
        .mapToDouble(
            run -> run.spec.need().cpuMillis() * (run.spec.serves() ? run.service.load(now) : 1.0))
        .sum();
  }

  private void work(Running run, double granted, int slot, long now) {
    if (run.spec.serves()) {
      double tail = run.atWork(now) ? tail(run, now) : 0;
      run.recent[slot] = tail;
      run.over = tail > run.spec.targetMillis();
      return;
    }
    boolean bestEffort = run.spec.is(StepSpec.Trait.FILLS);
    boolean restoring = run.resumed && now - run.beganMillis < RESTORE_MILLIS;
    run.rate = restoring ? 0 : bestEffort ? granted * run.pace / 100.0 : 1;
    run.recent[slot] = run.rate * run.spec.need().cpuMillis();
    run.doneMillis += run.rate * speed * Replay.STEP_MILLIS;
  }

  private double tail(Running run, long now) {
    double slowdown =
        running.values().stream()
            .filter(other -> other.spec.is(StepSpec.Trait.FILLS))
            .mapToDouble(other -> slowdown(run, other) * other.activity(now))
            .sum();
    double slower = 1 + slowdown;
    double idle = 1 - run.service.load(now) * slower;
    double tail = load.baseTailMillis() * slower / Math.max(idle, 1e-6);
    return Math.min(MAX_TAIL_MILLIS, tail);
  }

  private double slowdown(Running serving, Running bestEffort) {
    double share =
        bestEffort.rate * bestEffort.spec.need().cpuMillis() / info.capacity().cpuMillis();
    return load.weight(serving.spec.image(), bestEffort.spec.image()) * share;
  }
}
