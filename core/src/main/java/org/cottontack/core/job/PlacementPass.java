package org.cottontack.core.job;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cottontack.core.load.LoadPart;

/** Places the waiting tasks: the most urgent job first, each task on the best worker. */
final class PlacementPass {

  /**
   * Number of workers examined after which a pass leaves the rest to the next one: what the
   * smallest instances examine in a fifth of the tightest objective. The most urgent jobs come
   * first, and their starts leave before the others are looked at.
   */
  static final long MAX_EXAMINED = 50_000;

  /** Pass after which all workers count as changed. */
  private static final long ALL = 0;

  private final Term term;
  private final WorkerSelector workerSelector;
  private final Urgency urgency;
  private final boolean recordsWaits;
  private final ShortTaskReserve shortTaskReserve = new ShortTaskReserve();
  private long passes;
  private long placed;

  private long maxExamined;
  private boolean unfinished;

  /** Tasks with an orphan on some worker. A new run of such a task would run beside the orphan. */
  private Set<TaskName> tasksWithOrphans = Set.of();

  PlacementPass(Term term, WorkerSelector workerSelector, Urgency urgency) {
    this.term = term;
    this.workerSelector = workerSelector;
    this.urgency = urgency;
    this.recordsWaits = term.loadControl.has(LoadPart.ADMISSION);
  }

  void place() {
    unfinished = false;
    if (term.jobsToPlace.isEmpty() || !term.capacityChanged) {
      return;
    }
    term.capacityChanged = false;
    passes++;
    workerSelector.beginPass(term.workers.values(), passes, term.now.mono());
    maxExamined = workerSelector.examined() + MAX_EXAMINED;
    shortTaskReserve.beginPass(
        term.workers.values(), term.jobsToPlace, term.table, term.now.mono());
    tasksWithOrphans =
        term.workers.values().stream()
            .flatMap(worker -> worker.orphans.keySet().stream())
            .map(RunKey::task)
            .collect(Collectors.toSet());
    UnplaceableSteps unplaceableSteps = new UnplaceableSteps();
    inOrder().stream()
        .collect(
            Collectors.groupingBy(
                job -> job.spec.queue().priority(), TreeMap::new, Collectors.toList()))
        .values()
        .forEach(jobs -> placeJobs(jobs, unplaceableSteps));
    unfinished = exhausted();
    term.capacityChanged |= unfinished;
  }

  private List<Job> inOrder() {
    long nowMillis = term.now.mono();
    List<Job> ranked = urgency.order(term.jobsToPlace, nowMillis);
    return recordsWaits
        ? JobsInProgress.order(ranked, job -> urgency.mayBeUseful(job, nowMillis))
        : ranked;
  }

  /**
   * Places the tasks of jobs of one priority. Users miss the long-running tasks that have run
   * before, so these take free places before tasks that never ran.
   */
  private void placeJobs(List<Job> jobs, UnplaceableSteps unplaceableSteps) {
    Map<Job, List<Task>> ready = new LinkedHashMap<>();
    jobs.forEach(
        job -> ready.put(job, job.ready().filter(task -> !CrashBlame.proven(task)).toList()));
    List<Task> missed =
        ready.values().stream().flatMap(List::stream).filter(Task::isMissed).toList();
    missed.stream()
        .takeWhile(task -> !exhausted())
        .forEach(task -> placeIfPossible(task, unplaceableSteps));
    ready.forEach(
        (job, tasks) -> {
          job.waitsForPlace &= exhausted();
          tasks.stream()
              .filter(task -> task.phase == Task.Phase.WAITING && !task.isMissed())
              .takeWhile(task -> !exhausted())
              .forEach(task -> placeIfPossible(task, unplaceableSteps));
          if (tasks.stream().allMatch(task -> task.phase == Task.Phase.PLACED)) {
            term.jobsToPlace.remove(job);
          }
          logPlaced(job, tasks);
        });
  }

  private void placeIfPossible(Task task, UnplaceableSteps unplaceableSteps) {
    if (unplaceableSteps.coversStepOf(task) && !task.pinned(term.now.mono())) {
      return;
    }
    Job job = task.job;
    JobQueue queue = term.table.current(job.spec.queue());
    Optional<Worker> worker =
        tasksWithOrphans.contains(task.name)
            ? Optional.empty()
            : choose(task, queue, unplaceableSteps);
    if (worker.isPresent()) {
      placeTask(task, worker.get());
      workerSelector.recordPlaced(task, worker.get());
      shortTaskReserve.recordPlaced(task, queue.pool());
    } else if (recordsWaits && !job.waitsForPlace && !blockedOnItsOwn(task)) {
      job.waitsForPlace = fitsSomewhere(task.spec, queue);
    }
  }

  /** Returns whether some worker could hold a task of a step if it were empty. */
  private boolean fitsSomewhere(StepSpec step, JobQueue queue) {
    return term.workers.values().stream()
        .filter(worker -> worker.info.pool().equals(queue.pool()))
        .filter(worker -> worker.info.capacity().holds(step.reserved()))
        .anyMatch(worker -> step.requiredLabel().stream().allMatch(worker.info.labels()::contains));
  }

  private Optional<Worker> choose(Task task, JobQueue queue, UnplaceableSteps unplaceableSteps) {
    if (!shortTaskReserve.admits(task, queue.pool())) {
      unplaceableSteps.addRefusedByReserve(task);
      return Optional.empty();
    }
    boolean ignoresContention = workerSelector.mayIgnoreContention(task.job, queue);
    // A pinned task may go to a suspect worker that has its trial run; the others may not.
    boolean unplaceable =
        unplaceableSteps.covers(task.spec, queue)
            && !task.pinned(term.now.mono())
            && !ignoresContention;
    if (unplaceable) {
      unplaceableSteps.add(task, queue, false);
      return Optional.empty();
    }
    if (task.pinned(term.now.mono())) {
      return workerSelector.choose(task, queue, workersFor(task), term.now.mono());
    }
    Optional<FailedSearches.Failure> before =
        task.job.failedSearches.last(task, term.table, ignoresContention);
    long since = before.map(FailedSearches.Failure::pass).orElse(ALL);
    Optional<Worker> worker = workerSelector.chooseChanged(task, queue, since, term.now.mono());
    if (worker.isEmpty()) {
      boolean byItself =
          before.filter(FailedSearches.Failure::byItself).isPresent()
              || workerSelector.isRefusedByItself(task, queue, since, term.now.mono());
      task.job.failedSearches.add(
          task,
          new FailedSearches.Failure(passes, term.table.version(), ignoresContention, byItself));
      unplaceableSteps.add(task, queue, byItself);
    }
    return worker;
  }

  /** Returns the only worker to which a pinned task may go, if it is there. */
  private List<Worker> workersFor(Task task) {
    return task.firstRefusing().stream()
        .flatMap(incarnation -> Stream.ofNullable(term.workers.get(incarnation.worker())))
        .toList();
  }

  /**
   * Returns whether a task is blocked for a reason of its own, which does not apply to the other
   * tasks of its step.
   */
  private boolean blockedOnItsOwn(Task task) {
    return task.pinned(term.now.mono()) || tasksWithOrphans.contains(task.name);
  }

  private void logPlaced(Job job, List<Task> ready) {
    List<Task> placed = ready.stream().filter(task -> task.phase == Task.Phase.PLACED).toList();
    if (!placed.isEmpty()) {
      String placements =
          placed.stream()
              .map(
                  t ->
                      t.name.step().step()
                          + "."
                          + t.name.index()
                          + "#"
                          + t.run
                          + "@"
                          + t.worker.worker())
              .collect(Collectors.joining(" "));
      int unplaced = ready.size() - placed.size();
      term.logEvent(
          "job.placed",
          job.spec.id(),
          "table=" + term.table.version() + " left=" + unplaced + " " + placements);
    }
  }

  /** Returns whether the present pass has examined as many workers as it may. */
  private boolean exhausted() {
    return workerSelector.examined() >= maxExamined;
  }

  /** Returns whether the last pass has left waiting tasks to the next one. */
  boolean unfinished() {
    return unfinished;
  }

  /** Returns how much work placement has done in this term. */
  PlacementWork work() {
    return new PlacementWork(passes, workerSelector.searches(), workerSelector.examined(), placed);
  }

  private void placeTask(Task task, Worker worker) {
    placed++;
    task.place(worker.incarnation(), term.now.mono());
    task.strayLeasePossible = worker.strayLeaseOutlasts(term.now.mono());
    worker.add(task);
    term.dirty.add(task.job);
    if (task.job.phase == JobPhase.QUEUED) {
      task.job.phase = JobPhase.RUNNING;
    }
  }
}
