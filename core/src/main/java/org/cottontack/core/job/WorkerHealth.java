package org.cottontack.core.job;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.cottontack.core.health.WorkerScore;
import org.cottontack.core.health.WorkerScores;
import org.cottontack.core.load.LoadPart;

/**
 * Feeds the scores of workers and moves runs off slow ones. Without {@link LoadPart#WORKER_SCORES}
 * it does nothing, and all ratings stay healthy.
 *
 * <p>Speed is the progress between reports relative to the median of the step's tasks on other
 * workers, or to the expected duration while fewer than three of those are known. A best-effort run
 * is slowed by its pace and by lack of idle processor time, so its progress is taken per processor
 * time used, and its duration says nothing. Gangs and tasks with data in a rack depend on where
 * others run and are no evidence.
 */
final class WorkerHealth {

  /** Time between two ratings, in milliseconds: half of the period of reports. */
  private static final long RATE_MILLIS = 250;

  /** Shortest time over which progress is measured. */
  private static final long MIN_WINDOW_MILLIS = 400;

  /**
   * Progress that a run at full speed makes in the shortest window, in percent. Reports are in
   * whole percent, so the error of a window is at most a tenth.
   */
  private static final int MIN_WINDOW_PROGRESS = 10;

  /** Longest time that a run takes to start, in milliseconds, before it makes progress. */
  private static final long START_MILLIS = 600;

  /** Share of its processor time below which the progress of a best-effort run is mostly noise. */
  private static final double MIN_USED_SHARE = 0.2;

  /** Lowest speed that is distinguished. */
  private static final double MIN_SPEED = 0.02;

  /** Fewest siblings on other workers from which a median is taken. */
  private static final int MIN_SIBLINGS = 3;

  /** Most siblings from which a median is taken; steps may have thousands of tasks. */
  private static final int MAX_SIBLINGS = 32;

  /** A run whose speed is at least this share of its siblings' is not slowed by its worker. */
  private static final double SLOW_BELOW = 0.5;

  /** Progress, in percent, below which a run without checkpoints may be stopped. */
  private static final int MAX_PROGRESS_TO_DISCARD = 50;

  private final Term term;
  private final Orders orders;
  private final DurationEstimates estimates;
  private final WorkerSelector workerSelector;
  private final WorkerScores scores;
  private final boolean inForce;

  /** The last move of each pool, until its task is placed again. */
  private final Map<String, Move> pendingMoves = new HashMap<>();

  private long ratedMillis = Long.MIN_VALUE / 2;

  /** A run that was stopped on a slow worker. */
  private record Move(Task task, int run) {

    boolean pending() {
      return task.run == run && task.phase != Task.Phase.DONE && !task.job.phase.terminal();
    }
  }

  WorkerHealth(
      Term term,
      Orders orders,
      DurationEstimates estimates,
      WorkerSelector workerSelector,
      WorkerScores scores) {
    this.term = term;
    this.orders = orders;
    this.estimates = estimates;
    this.workerSelector = workerSelector;
    this.scores = scores;
    this.inForce = term.loadControl.has(LoadPart.WORKER_SCORES);
  }

  private WorkerScore score(Worker worker) {
    return scores.of(
        worker.info.id(),
        worker.incarnation().startTimeMillis(),
        worker.info.pool(),
        term.now.mono());
  }

  /** Records the remaining cold time of a worker's registry entry. */
  void registered(Worker worker) {
    if (inForce) {
      score(worker).cold(worker.info.coldLeftMillis(), term.now.mono());
    }
  }

  /** Records that a worker stopped answering. */
  void unanswered(Worker worker) {
    if (inForce && worker.everAnswered) {
      score(worker).unanswered(term.now.mono());
    }
  }

  /** Measures a run that a report has just listed. */
  void measure(Worker worker, Task task) {
    if (!inForce || !measurable(task)) {
      return;
    }
    long now = term.now.mono();
    if (task.progress == 0 && now - task.beganMillis < START_MILLIS) {
      return;
    }
    if (task.measuredMillis == 0) {
      task.measuredMillis = now;
      task.measuredProgress = task.progress;
    }
    long elapsed = now - task.measuredMillis;
    long fullSpeedProgress = elapsed * Task.FULL_PROGRESS / expectedMillis(task);
    if (elapsed < MIN_WINDOW_MILLIS
        || fullSpeedProgress < MIN_WINDOW_PROGRESS
        || task.measuredProgress >= Task.FULL_PROGRESS) {
      return;
    }
    double share = (task.progress - task.measuredProgress) / (double) Task.FULL_PROGRESS;
    double used =
        task.spec.is(StepSpec.Trait.FILLS)
            ? task.load / Math.max(1, task.spec.need().cpuMillis())
            : 1;
    task.measuredMillis = now;
    task.measuredProgress = task.progress;
    if (used >= MIN_USED_SHARE && share >= 0) {
      record(worker, task, share * expectedMillis(task) / elapsed / Math.min(1, used));
    }
  }

  private void record(Worker worker, Task task, double speed) {
    task.measuredSpeed = Math.max(MIN_SPEED, speed);
    task.measuredOn = Optional.of(worker.info.id());
    OptionalDouble siblings = siblingSpeed(task, worker);
    score(worker)
        .ran(task.key(), speed / siblings.orElse(1), siblings.isPresent(), term.now.mono());
  }

  /** Records the outcome of a run, before its task is released. */
  void ended(Worker worker, Task task, WorkerReport.CompletionStatus status) {
    if (!inForce) {
      return;
    }
    long now = term.now.mono();
    if (status == WorkerReport.CompletionStatus.FAILED) {
      score(worker).failed(task.job.spec.id(), now);
    } else if (status == WorkerReport.CompletionStatus.DONE) {
      score(worker).succeeded(now);
      boolean measuredWhole =
          task.measuredSpeed == 0
              && task.firstRunAtFullPace()
              && !task.startInDoubt
              && !task.spec.is(StepSpec.Trait.FILLS)
              && task.beganMillis > task.placedMillis;
      if (measuredWhole && measurable(task)) {
        double ran = Math.max(1, now - task.beganMillis);
        record(worker, task, expectedMillis(task) / ran);
      }
    }
  }

  private boolean measurable(Task task) {
    return !task.spec.is(StepSpec.Trait.LASTS)
        && !task.spec.is(StepSpec.Trait.GANG)
        && !task.spec.is(StepSpec.Trait.RACK_LOCAL)
        && task.spec.rack().isEmpty()
        && expectedMillis(task) > 0;
  }

  private long expectedMillis(Task task) {
    return estimates.millis(task.job.spec.queue(), task.spec);
  }

  /** Returns the median speed of the other tasks of a step that were measured on other workers. */
  private static OptionalDouble siblingSpeed(Task task, Worker worker) {
    List<Double> speeds =
        task.job
            .siblings(task)
            .filter(other -> other.measuredSpeed > 0)
            .filter(other -> !other.measuredOn.orElseThrow().equals(worker.info.id()))
            .limit(MAX_SIBLINGS)
            .map(other -> other.measuredSpeed)
            .sorted()
            .toList();
    return speeds.size() < MIN_SIBLINGS
        ? OptionalDouble.empty()
        : OptionalDouble.of(speeds.get(speeds.size() / 2));
  }

  /** Rates the workers, logs those that became suspect or trusted, and moves runs. */
  void tick() {
    if (!inForce || term.now.mono() - ratedMillis < RATE_MILLIS) {
      return;
    }
    ratedMillis = term.now.mono();
    scores
        .refresh(term.workers.keySet(), term.now.mono())
        .forEach(
            change ->
                term.logEvent(
                    change.suspect() ? "worker.doubted" : "worker.trusted",
                    change.worker(),
                    change.reason()));
    term.workers.values().forEach(worker -> worker.rate(scores.rating(worker.info.id())));
    pendingMoves.values().removeIf(move -> !move.pending());
    pendingMoves.values().stream()
        .map(Move::task)
        .filter(task -> task.phase == Task.Phase.PLACED)
        .forEach(task -> orders.stop(term.workerOf(task), task.key()));
    term.workers.values().stream()
        .filter(worker -> worker.rating.slow() && !worker.silent)
        .forEach(this::moveRun);
  }

  /**
   * Stops a run that is to continue on a faster worker. Moves are made one at a time, each task is
   * moved at most once, and a worker with a stop under way is left alone: a free place attracts
   * only one run.
   */
  private void moveRun(Worker worker) {
    if (worker.placed.keySet().stream().anyMatch(worker.stopsSent::containsKey)) {
      return;
    }
    worker.placed.values().stream()
        .filter(task -> !task.movedOffSlowWorker)
        .filter(task -> !pendingMoves.containsKey(queue(task).pool()))
        .filter(task -> task.order == Task.Order.CONFIRMED && task.began && !task.obsolete())
        .filter(task -> measurable(task) && !task.pinned(term.now.mono()))
        .filter(task -> endsSoonerElsewhere(worker, task))
        .sorted(Comparator.comparing(task -> task.key().toString()))
        .filter(this::fitsElsewhere)
        .findFirst()
        .ifPresent(
            task -> {
              String detail = "%s slow progress=%d".formatted(worker.info.id(), task.progress);
              term.logEvent("run.moved", task.key(), detail);
              orders.stop(worker, task.key());
              task.movedOffSlowWorker = true;
              pendingMoves.put(queue(task).pool(), new Move(task, task.run));
            });
  }

  /**
   * Returns whether a run ends sooner if it is moved. A stop writes a checkpoint where the step has
   * them, so no progress is lost then; a run of another step starts anew.
   */
  private boolean endsSoonerElsewhere(Worker worker, Task task) {
    boolean checkpoints = task.spec.is(StepSpec.Trait.CHECKPOINTS);
    if (!checkpoints && task.progress >= MAX_PROGRESS_TO_DISCARD) {
      return false;
    }
    OptionalDouble siblings = siblingSpeed(task, worker);
    boolean slowHere = task.measuredSpeed < SLOW_BELOW * siblings.orElse(1);
    double whole = expectedMillis(task) / Math.max(0.1, siblings.orElse(1));
    double left = whole * (1 - task.progress / (double) Task.FULL_PROGRESS);
    double move = term.loadControl.stopMillis() / 2.0 + term.loadControl.restoreMillis();
    double elsewhere = move + (checkpoints ? left : whole);
    return slowHere && task.measuredSpeed > 0 && left / worker.rating.speed() > elsewhere;
  }

  private boolean fitsElsewhere(Task task) {
    return workerSelector
        .choose(task, queue(task), term.workers.values(), term.now.mono())
        .filter(other -> !other.rating.suspect())
        .filter(other -> !wanted(other))
        .isPresent();
  }

  /** Returns whether a waiting task would take the free place on a worker. */
  private boolean wanted(Worker worker) {
    List<Worker> only = List.of(worker);
    return term.jobsToPlace.stream()
        .filter(job -> term.table.current(job.spec.queue()).pool().equals(worker.info.pool()))
        .flatMap(Job::ready)
        .anyMatch(
            task -> workerSelector.choose(task, queue(task), only, term.now.mono()).isPresent());
  }

  private JobQueue queue(Task task) {
    return term.table.current(task.job.spec.queue());
  }
}
