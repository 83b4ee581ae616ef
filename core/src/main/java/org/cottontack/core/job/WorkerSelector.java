package org.cottontack.core.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Chooses a worker for a task. The load is a stream of short tasks that want to start at once,
 * beside tasks that serve users and tasks that fill. Serving tasks of one image are packed
 * together: which tasks may fill beside them differs by image, so a worker with one image refuses
 * few of them, and workers without any refuse none. Short tasks are spread by free processor time,
 * which keeps room everywhere for the next wide step. Tasks that fill go where they are predicted
 * to strain least.
 */
final class WorkerSelector {

  /**
   * Predicted strain up to which a task that fills may join; 1 is all the headroom that there will
   * be. What is kept back is for loads that swing and predictions that are wrong.
   */
  static final double MOST_STRAIN = 0.8;

  /** Steps of strain that count as equal: the estimate is not finer. */
  private static final double STRAIN_STEP = 0.15;

  /** Differences of tolerance that count. */
  private static final long TOLERANCE_STEPS = 5;

  /**
   * Share of its processors that a task that fills must find idle. Placed on less, a backlog slows
   * all jobs alike and makes each of them late, where in turn most would be on time.
   */
  private static final double LEAST_LEFTOVER = 0.3;

  private static final Comparator<Candidate> BEST =
      Comparator.comparing(Candidate::keeps)
          .thenComparing(Candidate::near)
          .thenComparing(Candidate::fresh)
          .thenComparingLong(Candidate::suits)
          .thenComparingLong(Candidate::room)
          .thenComparing(candidate -> candidate.worker().info.id());

  /** Share of the processors reserved up to which a pool counts as roomy. */
  private static final double ROOMY_SHARE = 0.6;

  private static final int EMPTY = 1;
  private static final int STRANGE = 0;
  private final Interference interference;
  private final Set<String> roomyPools = new HashSet<>();

  WorkerSelector(Interference interference) {
    this.interference = interference;
  }

  /**
   * A worker that has room.
   *
   * @param worker the worker
   * @param keeps whether the task would stay there
   * @param near whether it is where the data lies
   * @param fresh whether the task has not failed there before
   * @param suits how well the task goes with what is there; more is better
   * @param room decides among equals; more is better
   */
  private record Candidate(
      Worker worker, boolean keeps, boolean near, boolean fresh, long suits, long room) {}

  /** Takes in how much is reserved before a pass over what waits. */
  void begin(Collection<Worker> workers) {
    roomyPools.clear();
    workers.stream()
        .filter(Worker::countsForPool)
        .collect(Collectors.groupingBy(worker -> worker.info.pool()))
        .forEach(
            (pool, all) -> {
              long cpu = all.stream().mapToLong(w -> w.info.capacity().cpuMillis()).sum();
              long used = all.stream().mapToLong(w -> w.used.cpuMillis()).sum();
              if (roomy(used, cpu)) {
                roomyPools.add(pool);
              }
            });
  }

  /**
   * Returns whether little of a pool is reserved, so that users would see a job or a service wait
   * beside idle workers.
   */
  static boolean roomy(long reservedCpu, long cpu) {
    return reservedCpu < ROOMY_SHARE * cpu;
  }

  /**
   * Returns whether a job gets a place beside anything: nothing of it runs though the pool is
   * roomy. An image that harms all others would otherwise never run, and its jobs never end; its
   * first task is paced where it does harm.
   */
  boolean anywhere(Job job, JobQueue queue) {
    return roomyPools.contains(queue.pool()) && !job.onWorkers();
  }

  /** Returns the worker to run a task on, or nothing when none has room. */
  Optional<Worker> choose(Task task, JobQueue queue, Collection<Worker> workers, long nowMillis) {
    return workers.stream()
        .filter(worker -> worker.usable(nowMillis))
        .filter(worker -> fits(task, queue, worker, nowMillis))
        .flatMap(worker -> candidate(task, queue, worker, nowMillis).stream())
        .max(BEST)
        .map(Candidate::worker);
  }

  private static boolean fits(Task task, JobQueue queue, Worker worker, long nowMillis) {
    StepSpec spec = task.spec;
    return worker.info.pool().equals(queue.pool())
        && worker.free().holds(spec.reserved())
        && task.mayStartOn(worker.incarnation(), nowMillis)
        && worker.admits(spec, nowMillis)
        && spec.requiredLabel().stream().allMatch(worker.info.labels()::contains)
        && (spec.maxPerWorker() == 0 || worker.tasksOf(task.name.step()) < spec.maxPerWorker())
        && (!CrashBlame.suspect(task) || worker.hasNoSuspect());
  }

  private Optional<Candidate> candidate(Task task, JobQueue queue, Worker worker, long nowMillis) {
    boolean near = task.spec.rack().stream().allMatch(worker.info.labels()::contains);
    boolean fresh = !task.failedOn.contains(worker.incarnation());
    if (task.spec.is(StepSpec.Trait.FILLS)) {
      return filling(task, queue, worker.contention(interference, nowMillis), worker, near, fresh);
    }
    if (task.spec.serves()) {
      long room = -worker.free().cpuMillis();
      return Optional.of(
          new Candidate(worker, keeps(worker), near, fresh, kinship(task, worker), room));
    }
    return Optional.of(new Candidate(worker, keeps(worker), near, fresh, 0, worker.leftoverCpu()));
  }

  /**
   * What can go anywhere goes where few others can, and leaves the places beside tolerant images,
   * or beside none, to those that need them. Beside a tail that is over its bound already nothing
   * joins: it would start at full pace.
   */
  private Optional<Candidate> filling(
      Task task,
      JobQueue queue,
      ContentionSnapshot crowding,
      Worker worker,
      boolean near,
      boolean fresh) {
    if (crowding.overBound()
        || crowding.leftoverCpu() < LEAST_LEFTOVER * task.spec.need().cpuMillis()) {
      return Optional.empty();
    }
    double strain = crowding.headroomUseWith(worker, task, interference);
    if (strain > MOST_STRAIN && !anywhere(task.job, queue)) {
      return Optional.empty();
    }
    long steps = Math.round(strain / STRAIN_STEP);
    long suits = -TOLERANCE_STEPS * steps - Math.round(TOLERANCE_STEPS * crowding.tolerance());
    return Optional.of(
        new Candidate(worker, keeps(worker), near, fresh, suits, crowding.leftoverCpu()));
  }

  private static boolean keeps(Worker worker) {
    return worker.suppressedCompletions.none();
  }

  /** Returns 2 beside its like only, 1 where nothing serves, and 0 beside other images. */
  private static int kinship(Task task, Worker worker) {
    if (worker.services().isEmpty()) {
      return EMPTY;
    }
    boolean strangers =
        worker.services().stream().anyMatch(other -> !other.spec.image().equals(task.spec.image()));
    return strangers ? STRANGE : 2;
  }
}
