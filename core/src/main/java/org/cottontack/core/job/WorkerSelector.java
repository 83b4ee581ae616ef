package org.cottontack.core.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Chooses a worker for a task. The workload mixes short tasks, which should start immediately,
 * serving tasks and best-effort tasks. Serving tasks of one image are packed onto the same workers:
 * which best-effort tasks may run beside them depends on the image, so a worker with one image
 * excludes few of them and a worker without serving tasks excludes none. Short tasks are spread by
 * free processor time, which keeps capacity on every worker for the next wide step. Best-effort
 * tasks go to the worker where they are predicted to use the least headroom.
 */
final class WorkerSelector {

  /**
   * Predicted headroom use up to which a best-effort task may join a worker; 1 is all of the
   * headroom. The rest is a reserve for load swings and prediction errors.
   */
  static final double MAX_HEADROOM_USE = 0.8;

  /** Step to which headroom use is rounded, because the estimate is not more precise. */
  private static final double HEADROOM_USE_STEP = 0.15;

  /** Number of steps that are distinguished in the tolerance of images. */
  private static final long TOLERANCE_STEPS = 5;

  /**
   * Share of its requested processor time that a best-effort task must find idle. Placed on less,
   * all jobs of a backlog are slowed alike and all of them become late; run one after the other,
   * most of them are on time.
   */
  private static final double MIN_IDLE_SHARE = 0.3;

  private static final Comparator<Candidate> BEST =
      Comparator.comparing(Candidate::reportsAllCompletions)
          .thenComparing(Candidate::dataLocal)
          .thenComparing(Candidate::notFailedHere)
          .thenComparingLong(Candidate::health)
          .thenComparingLong(Candidate::affinity)
          .thenComparingLong(Candidate::tieBreak)
          .thenComparing(candidate -> candidate.worker().info.id());

  /**
   * Share of a pool's processors that may be reserved for the pool to count as lightly reserved.
   */
  private static final double LIGHT_RESERVATION_SHARE = 0.6;

  /** Steps per multiple of the normal time that are distinguished in expected ends. */
  private static final double SLOWDOWN_STEPS = 4;

  private static final int NO_SERVING_TASKS = 1;
  private static final int OTHER_IMAGES = 0;
  private final Interference interference;
  private final Set<String> lightlyReservedPools = new HashSet<>();

  /** The usable workers of each pool; those that changed in the latest pass come first. */
  private Map<String, List<Worker>> usableByPool = Map.of();

  /** Whether places are held for long-running tasks that move, each for one task of a step. */
  private boolean placesHeld;

  private Optional<Ranking> ranking = Optional.empty();
  private long searches;
  private long examined;

  WorkerSelector(Interference interference) {
    this.interference = interference;
  }

  /**
   * A worker with enough free capacity.
   *
   * @param worker the worker
   * @param reportsAllCompletions whether the worker will report the completion of every run that
   *     ends there
   * @param dataLocal whether the worker is in the rack that holds the data
   * @param notFailedHere whether no run of the task has failed there
   * @param health what the worker's rating counts for this task; higher is better, 0 is normal
   * @param affinity how well the task goes with the tasks there; higher is better
   * @param tieBreak decides among otherwise equal workers; higher is better
   */
  private record Candidate(
      Worker worker,
      boolean reportsAllCompletions,
      boolean dataLocal,
      boolean notFailedHere,
      long health,
      long affinity,
      long tieBreak) {}

  /** Records which workers are usable and how much of each pool is reserved, before a pass. */
  void beginPass(Collection<Worker> workers, long pass, long nowMillis) {
    workers.forEach(worker -> worker.beginPass(pass, nowMillis));
    usableByPool =
        workers.stream()
            .filter(Worker::usableInPass)
            .sorted(Comparator.comparingLong(Worker::changedPass).reversed())
            .collect(Collectors.groupingBy(worker -> worker.info.pool()));
    placesHeld = workers.stream().anyMatch(Worker::holdsPlaces);
    ranking = Optional.empty();
    lightlyReservedPools.clear();
    workers.stream()
        .filter(Worker::countsForPool)
        .collect(Collectors.groupingBy(worker -> worker.info.pool()))
        .forEach(
            (pool, all) -> {
              long cpu = all.stream().mapToLong(w -> w.info.capacity().cpuMillis()).sum();
              long used = all.stream().mapToLong(w -> w.used.cpuMillis()).sum();
              if (lightlyReserved(used, cpu)) {
                lightlyReservedPools.add(pool);
              }
            });
  }

  /**
   * Returns whether little of a pool is reserved, so that users would see a job or a service wait
   * beside idle workers.
   */
  static boolean lightlyReserved(long reservedCpu, long cpu) {
    return reservedCpu < LIGHT_RESERVATION_SHARE * cpu;
  }

  /**
   * Returns whether a job may be placed whatever its effect on serving tasks: none of its tasks is
   * placed although the pool is lightly reserved. Otherwise the jobs of an image that harms all
   * others would never run. The pace of their first task is reduced where it does harm.
   */
  boolean mayIgnoreContention(Job job, JobQueue queue) {
    return lightlyReservedPools.contains(queue.pool()) && !job.onWorkers();
  }

  /**
   * What a search for a worker asks of every worker, evaluated once.
   *
   * @param task the task
   * @param need what it reserves
   * @param queue its queue as the rules in force have it
   * @param suspect whether it needs a worker without another suspect
   * @param nowMillis the present time, on our steady clock
   */
  private record Search(
      Task task, Resources need, JobQueue queue, boolean suspect, long nowMillis) {

    static Search of(Task task, JobQueue queue, long nowMillis) {
      return new Search(task, task.spec.reserved(), queue, CrashBlame.suspect(task), nowMillis);
    }

    /** Returns whether restrictions of the task or of its job exclude workers with room for it. */
    boolean restricted() {
      return suspect || task.spec.maxPerWorker() > 0;
    }
  }

  /** Returns the worker for a task, or empty when none has enough free capacity. */
  Optional<Worker> choose(Task task, JobQueue queue, Collection<Worker> workers, long nowMillis) {
    return best(
        Search.of(task, queue, nowMillis),
        workers.stream().filter(worker -> worker.usable(nowMillis)));
  }

  /**
   * The workers that would take a further task of a step, best first. A pass places the tasks of a
   * step one after the other, and each placement changes only the worker that it chose.
   */
  private final class Ranking {
    private final StepId step;
    private final boolean ignoresContention;
    private final PriorityQueue<Candidate> candidates = new PriorityQueue<>(BEST.reversed());
    private Optional<Worker> chosen = Optional.empty();

    Ranking(Search search, boolean ignoresContention, Stream<Worker> workers) {
      this.step = search.task().name.step();
      this.ignoresContention = ignoresContention;
      workers.forEach(worker -> add(search, worker));
    }

    private void add(Search search, Worker worker) {
      if (fits(search, worker)) {
        candidate(search, worker).ifPresent(candidates::add);
      }
    }

    boolean appliesTo(Task task, boolean ignores) {
      return step.equals(task.name.step()) && ignoresContention == ignores;
    }

    Optional<Worker> choose(Search search) {
      chosen
          .filter(worker -> worker.reportHolds(worker.placed.size() + 1))
          .ifPresent(worker -> add(search, worker));
      chosen = Optional.ofNullable(candidates.poll()).map(Candidate::worker);
      return chosen;
    }
  }

  /**
   * Returns the worker for a task in the present pass, or empty when none of those that have
   * changed since an earlier pass has enough free capacity.
   *
   * @param task the task
   * @param queue its queue as the rules in force have it
   * @param sincePass the earlier pass; 0 to examine all workers
   * @param nowMillis the present time, on our steady clock
   */
  Optional<Worker> chooseChanged(Task task, JobQueue queue, long sincePass, long nowMillis) {
    Search search = Search.of(task, queue, nowMillis);
    boolean ownRestrictions =
        search.suspect()
            || !task.failedOn.isEmpty()
            || task.startInFlight(nowMillis)
            || (placesHeld && task.spec.is(StepSpec.Trait.LASTS));
    if (ownRestrictions) {
      return best(search, changed(queue, sincePass));
    }
    searches++;
    boolean ignores = task.spec.is(StepSpec.Trait.FILLS) && mayIgnoreContention(task.job, queue);
    if (ranking.filter(last -> last.appliesTo(task, ignores)).isEmpty()) {
      ranking = Optional.of(new Ranking(search, ignores, changed(queue, sincePass)));
    }
    return ranking.orElseThrow().choose(search);
  }

  /** Records that a task was placed in the present pass. */
  void recordPlaced(Task task, Worker worker) {
    ranking =
        ranking.filter(
            last ->
                last.step.equals(task.name.step())
                    && last.chosen.filter(worker::equals).isPresent());
  }

  private Stream<Worker> changed(JobQueue queue, long sincePass) {
    return usableByPool.getOrDefault(queue.pool(), List.of()).stream()
        .takeWhile(worker -> worker.changedPass() > sincePass)
        .filter(worker -> worker.reportHolds(worker.placed.size() + 1));
  }

  private Optional<Worker> best(Search search, Stream<Worker> workers) {
    searches++;
    return workers
        .filter(worker -> fits(search, worker))
        .flatMap(worker -> candidate(search, worker).stream())
        .max(BEST)
        .map(Candidate::worker);
  }

  /** Returns how many searches for a worker were made in this term. */
  long searches() {
    return searches;
  }

  /** Returns how many workers were examined in these searches. */
  long examined() {
    return examined;
  }

  /**
   * Returns whether some worker that has changed since an earlier pass would take a task but for
   * restrictions of its own or of its job: a suspect needs a worker without another one, and a
   * spread limit counts the tasks of one step.
   */
  boolean isRefusedByItself(Task task, JobQueue queue, long sincePass, long nowMillis) {
    Search search = Search.of(task, queue, nowMillis);
    return search.restricted()
        && changed(queue, sincePass)
            .filter(worker -> hasRoom(search, worker))
            .anyMatch(worker -> candidate(search, worker).isPresent());
  }

  private boolean fits(Search search, Worker worker) {
    int limit = search.task().spec.maxPerWorker();
    return hasRoom(search, worker)
        && (limit == 0 || worker.tasksOf(search.task().name.step()) < limit)
        && (!search.suspect() || worker.hasNoSuspect());
  }

  private boolean hasRoom(Search search, Worker worker) {
    examined++;
    Task task = search.task();
    StepSpec spec = task.spec;
    long nowMillis = search.nowMillis();
    return worker.info.pool().equals(search.queue().pool())
        && worker.freeFor(task, nowMillis).holds(search.need())
        && task.mayStartOn(worker.incarnation(), nowMillis)
        && worker.admits(spec, nowMillis)
        && mayTry(task, worker, nowMillis)
        && inLabels(spec.requiredLabel(), worker);
  }

  /** Returns whether a worker has a label, if one is asked for. */
  private static boolean inLabels(Optional<String> label, Worker worker) {
    return label.isEmpty() || worker.info.labels().contains(label.get());
  }

  /**
   * Returns whether a worker's rating admits a run. A suspect worker gets one run that ends by
   * itself at a time. A pinned task has no other worker.
   */
  private static boolean mayTry(Task task, Worker worker, long nowMillis) {
    if (!worker.rating.suspect() || task.pinned(nowMillis)) {
      return true;
    }
    boolean lasts = task.spec.is(StepSpec.Trait.LASTS);
    return !worker.rating.barred() && (lasts || !worker.hasTrial());
  }

  /**
   * Returns how a worker's rating ranks it. A short task goes where its expected end is earliest;
   * the other tasks only avoid suspect workers, because interference matters more to them than
   * speed.
   */
  private static long health(Task task, Worker worker) {
    if (task.spec.is(StepSpec.Trait.FILLS) || task.spec.is(StepSpec.Trait.LASTS)) {
      return worker.rating.suspect() ? -1 : 0;
    }
    return -Math.round(SLOWDOWN_STEPS * (worker.rating.slowdown() - 1));
  }

  private Optional<Candidate> candidate(Search search, Worker worker) {
    Task task = search.task();
    boolean dataLocal = inLabels(task.spec.rack(), worker);
    boolean notFailedHere = !task.failedOn.contains(worker.incarnation());
    if (task.spec.is(StepSpec.Trait.FILLS)) {
      return bestEffortCandidate(
          task,
          search.queue(),
          worker.contention(interference, search.nowMillis()),
          worker,
          dataLocal,
          notFailedHere);
    }
    if (task.spec.serves()) {
      long tieBreak = -worker.free().cpuMillis();
      return Optional.of(
          new Candidate(
              worker,
              reportsAllCompletions(worker),
              dataLocal,
              notFailedHere,
              health(task, worker),
              imageAffinity(task, worker),
              tieBreak));
    }
    return Optional.of(
        new Candidate(
            worker,
            reportsAllCompletions(worker),
            dataLocal,
            notFailedHere,
            health(task, worker),
            0,
            worker.leftoverCpu()));
  }

  /**
   * Returns the candidate for a best-effort task. A task that may run on any worker goes where few
   * others may, which keeps the workers with tolerant images, or without serving tasks, for the
   * tasks that need them. No task joins a serving task whose tail latency already exceeds its
   * bound, because the new task would start at full pace.
   */
  private Optional<Candidate> bestEffortCandidate(
      Task task,
      JobQueue queue,
      ContentionSnapshot contention,
      Worker worker,
      boolean dataLocal,
      boolean notFailedHere) {
    if (contention.overBound()
        || contention.leftoverCpu() < MIN_IDLE_SHARE * task.spec.need().cpuMillis()) {
      return Optional.empty();
    }
    double headroomUse = contention.headroomUseWith(worker, task, interference);
    if (headroomUse > MAX_HEADROOM_USE && !mayIgnoreContention(task.job, queue)) {
      return Optional.empty();
    }
    long steps = Math.round(headroomUse / HEADROOM_USE_STEP);
    long affinity = -TOLERANCE_STEPS * steps - Math.round(TOLERANCE_STEPS * contention.tolerance());
    return Optional.of(
        new Candidate(
            worker,
            reportsAllCompletions(worker),
            dataLocal,
            notFailedHere,
            health(task, worker),
            affinity,
            contention.leftoverCpu()));
  }

  private static boolean reportsAllCompletions(Worker worker) {
    return worker.suppressedCompletions.none();
  }

  /**
   * Returns 2 where all serving tasks have the same image, 1 where there are none, and 0 beside
   * other images.
   */
  private static int imageAffinity(Task task, Worker worker) {
    if (worker.services().isEmpty()) {
      return NO_SERVING_TASKS;
    }
    boolean hasOtherImages =
        worker.services().stream().anyMatch(other -> !other.spec.image().equals(task.spec.image()));
    return hasOtherImages ? OTHER_IMAGES : 2;
  }
}
