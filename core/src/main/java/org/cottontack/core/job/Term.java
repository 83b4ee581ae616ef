package org.cottontack.core.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cottontack.core.Moment;
import org.cottontack.core.id.WorkerId;

/**
 * What one leader's term knows of jobs and workers, and what it wants done. The parts of {@link
 * JobScheduler} share it; confined to one thread.
 */
final class Term {

  final JobTiming timing;
  final long startMillis;
  final long inheritedLeaseEndMillis;
  final Map<JobId, Job> jobs = new LinkedHashMap<>();
  final Map<WorkerId, Worker> workers = new TreeMap<>();
  final Evacuations evacuations = new Evacuations();
  private final IncarnationHistory incarnations = new IncarnationHistory();

  /** Jobs with tasks that wait for a worker. */
  final Set<Job> jobsToPlace = new LinkedHashSet<>();

  /** Jobs with occurrences that are not due yet. */
  final Set<Job> scheduledJobs = new LinkedHashSet<>();

  /** Jobs of which a task turned out to be done while a later run of it had its place. */
  final Set<Job> jobsToRecheck = new LinkedHashSet<>();

  /** Jobs whose progress is not saved. */
  final Set<Job> dirty = new LinkedHashSet<>();

  JobTable table;

  /** When the last renewal of the leader's lease was sent; set with the first tick. */
  Moment renewal;

  /** When nothing may begin any more by what is known, on our steady clock. */
  long startDeadlineMillis = Long.MAX_VALUE;

  final IgnoredStarts ignoredStarts = new IgnoredStarts();
  final UnlistedSuppressions unlistedSuppressions = new UnlistedSuppressions();
  final UnlistedDeferrals unlistedDeferrals = new UnlistedDeferrals();

  /** Whether the next leader would not know which lives hide ends, or may come to do so. */
  boolean incarnationsUnsaved;

  boolean roomChanged;
  Moment now;
  List<JobEffect> effects = new ArrayList<>();

  Term(JobTiming timing, JobTable table, Moment start, long inheritedLapseMillis) {
    this.timing = timing;
    this.table = table;
    this.now = start;
    this.startMillis = start.mono();
    this.inheritedLeaseEndMillis = inheritedLapseMillis;
  }

  void logEvent(String name, Object subject, String detail) {
    effects.add(new JobEffect.Note(name, subject.toString(), detail));
  }

  /** Returns the latest end, on our steady clock, of leases that are given now; may be past. */
  long grantEndMillis() {
    return renewal == null ? startMillis : LeaderLease.grantEnd(renewal, now);
  }

  /** Returns the worker that leads a life, if it still does. */
  Optional<Worker> worker(WorkerIncarnation life) {
    return Optional.ofNullable(workers.get(life.worker()))
        .filter(worker -> worker.incarnation().equals(life));
  }

  /** Returns the worker whose entry may speak of a life, if there is one. */
  Optional<Worker> listedAs(WorkerIncarnation life) {
    return Optional.ofNullable(workers.get(life.worker())).filter(worker -> worker.listedAs(life));
  }

  /** Returns the worker that holds a placed task, whichever life the task was placed on. */
  Worker workerOf(Task task) {
    return workers.get(task.worker.worker());
  }

  /**
   * Adds a worker in place of what was known by its identifier.
   *
   * @param lapseMillis when leases that were not given through it have ended
   */
  Worker add(WorkerInfo info, long lapseMillis) {
    Acknowledgements acknowledgements = incarnations.acknowledgements(info.id());
    acknowledgements.unanswered();
    LateLeases lateLeases = incarnations.lateLeases(info.id());
    lateLeases.unanswered();
    int restarts = incarnations.restarts(info.incarnation());
    // The life before may be the one that leads, and answer again.
    Optional.ofNullable(workers.get(info.id())).ifPresent(this::forget);
    Worker worker =
        new Worker(info, evacuations, restarts, lapseMillis, acknowledgements, lateLeases);
    workers.put(info.id(), worker);
    return worker;
  }

  /** Takes in that a life may be named ends as soon as this is stored. */
  void acknowledging(WorkerIncarnation life) {
    incarnations.acknowledgements(life.worker()).acknowledging(life, now.mono());
  }

  /** Takes in that an earlier leader may have named ends to a life. */
  void inheritAcknowledged(WorkerIncarnation life) {
    incarnations.acknowledgements(life.worker()).inherit(life, startMillis);
  }

  /** Returns the lives whose next ones may get acknowledgements that were meant for them. */
  Set<WorkerIncarnation> acknowledgedLives() {
    return incarnations.acknowledged(workers::containsKey, now.mono());
  }

  /** Drops a worker that is not listed; it can be listed again. */
  void forget(Worker worker) {
    workers.remove(worker.info.id());
    if (worker.deferredAcknowledgements.first(now.mono()).isPresent()) {
      unlistedDeferrals.add(worker.incarnation(), worker.deferredAcknowledgements);
    }
    if (!worker.suppressedCompletions.none()) {
      worker.suppressedCompletions.leasedUntil(worker.clock.lastLeaseEndMillis());
      unlistedSuppressions.add(worker.incarnation(), worker.suppressedCompletions, now.mono());
    }
  }

  /** Returns the lives that may never list some ends; those away for longest are last. */
  Set<WorkerIncarnation> hiding() {
    Stream<WorkerIncarnation> known =
        workers.values().stream()
            .filter(worker -> !worker.suppressedCompletions.none())
            .map(Worker::incarnation);
    return Stream.concat(known, unlistedSuppressions.latestFirst().stream())
        .collect(Collectors.toCollection(LinkedHashSet::new));
  }

  /** Returns the lowest number that is held on each life with held ends. */
  Map<WorkerIncarnation, Long> firstHeld() {
    Map<WorkerIncarnation, Long> first = new HashMap<>(unlistedDeferrals.first(now.mono()));
    for (Worker worker : workers.values()) {
      worker
          .deferredAcknowledgements
          .first(now.mono())
          .ifPresent(number -> first.put(worker.incarnation(), number));
    }
    return first;
  }

  Task find(TaskName name) {
    Job job = jobs.get(name.job());
    return job == null || !job.has(name) ? null : job.task(name);
  }

  /** Has tasks of all jobs know of a start that turned out to be ignored. */
  void recordIgnoredStart(Task task) {
    if (task.startIgnored() && ignoredStarts.add(task.unansweredMillis())) {
      logEvent("start.ignored", task.key(), task.worker.toString());
    }
  }

  /** Says for how long at most a task that waits again is kept from other workers. */
  void logPinned(Task task) {
    task.pinnedForMillis(now.mono())
        .ifPresent(millis -> logEvent("task.bound", task.key(), "millis=" + millis));
  }

  /** Takes a task off its worker; it waits again unless it is done or its job has ended. */
  void release(Task task) {
    Optional.ofNullable(task.worker)
        .map(life -> workers.get(life.worker()))
        .ifPresent(worker -> worker.remove(task));
    task.release().forEach(end -> settle(task, end));
    dirty.add(task.job);
    roomChanged = true;
    if (!task.job.phase.terminal()) {
      jobsToPlace.add(task.job);
    }
  }

  private void settle(Task task, Task.EarlierCompletion end) {
    long millis = task.pinnedForMillis(now.mono()).orElse(0);
    worker(end.on())
        .map(on -> on.deferredAcknowledgements)
        .or(() -> unlistedDeferrals.of(end.on()))
        .ifPresent(held -> held.defer(end.number(), now.mono(), millis));
    jobsToRecheck.add(task.job);
  }
}
