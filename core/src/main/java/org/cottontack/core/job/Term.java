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
  final long inheritedLapseMillis;
  final Map<JobId, Job> jobs = new LinkedHashMap<>();
  final Map<WorkerId, Worker> workers = new TreeMap<>();
  final Evacuations evacuations = new Evacuations();
  private final Lives lives = new Lives();

  /** Jobs with tasks that wait for a worker. */
  final Set<Job> hungry = new LinkedHashSet<>();

  /** Jobs with occurrences that are not due yet. */
  final Set<Job> timed = new LinkedHashSet<>();

  /** Jobs of which a task turned out to be done while a later run of it had its place. */
  final Set<Job> unsettled = new LinkedHashSet<>();

  /** Jobs whose progress is not saved. */
  final Set<Job> dirty = new LinkedHashSet<>();

  JobTable table;

  /** When the last renewal of the leader's lease was sent; set with the first tick. */
  Moment renewal;

  /** When nothing may begin any more by what is known, on our steady clock. */
  long startsUntilMillis = Long.MAX_VALUE;

  final IgnoredStarts ignoredStarts = new IgnoredStarts();
  final HidingLives hidingLives = new HidingLives();
  final HeldLives heldLives = new HeldLives();

  /** Whether the next leader would not know which lives hide ends, or may come to do so. */
  boolean livesUnsaved;

  boolean roomChanged;
  Moment now;
  List<JobEffect> out = new ArrayList<>();

  Term(JobTiming timing, JobTable table, Moment start, long inheritedLapseMillis) {
    this.timing = timing;
    this.table = table;
    this.now = start;
    this.startMillis = start.mono();
    this.inheritedLapseMillis = inheritedLapseMillis;
  }

  void note(String name, Object subject, String detail) {
    out.add(new JobEffect.Note(name, subject.toString(), detail));
  }

  /** Returns the latest end, on our steady clock, of leases that are given now; may be past. */
  long grantEndMillis() {
    return renewal == null ? startMillis : LeaderLease.grantEnd(renewal, now);
  }

  /** Returns the worker that leads a life, if it still does. */
  Optional<Worker> worker(WorkerLife life) {
    return Optional.ofNullable(workers.get(life.worker()))
        .filter(worker -> worker.life().equals(life));
  }

  /** Returns the worker whose entry may speak of a life, if there is one. */
  Optional<Worker> listedAs(WorkerLife life) {
    return Optional.ofNullable(workers.get(life.worker())).filter(worker -> worker.listedAs(life));
  }

  /** Returns the worker that holds a placed task, whichever life the task was placed on. */
  Worker holder(Task task) {
    return workers.get(task.worker.worker());
  }

  /**
   * Adds a worker in place of what was known by its identifier.
   *
   * @param lapseMillis when leases that were not given through it have ended
   */
  Worker add(WorkerInfo info, long lapseMillis) {
    Acknowledgements acknowledgements = lives.acknowledgements(info.id());
    acknowledgements.unanswered();
    LateLeases lateLeases = lives.lateLeases(info.id());
    lateLeases.unanswered();
    int restarts = lives.restarts(info.life());
    // The life before may be the one that leads, and answer again.
    Optional.ofNullable(workers.get(info.id())).ifPresent(this::forget);
    Worker worker =
        new Worker(info, evacuations, restarts, lapseMillis, acknowledgements, lateLeases);
    workers.put(info.id(), worker);
    return worker;
  }

  /** Takes in that a life may be named ends as soon as this is stored. */
  void acknowledging(WorkerLife life) {
    lives.acknowledgements(life.worker()).acknowledging(life, now.mono());
  }

  /** Takes in that an earlier leader may have named ends to a life. */
  void inheritAcknowledged(WorkerLife life) {
    lives.acknowledgements(life.worker()).inherit(life, startMillis);
  }

  /** Returns the lives whose next ones may get acknowledgements that were meant for them. */
  Set<WorkerLife> acknowledgedLives() {
    return lives.acknowledged(workers::containsKey, now.mono());
  }

  /** Drops a worker that is not listed; it can be listed again. */
  void forget(Worker worker) {
    workers.remove(worker.info.id());
    if (worker.heldEnds.first(now.mono()).isPresent()) {
      heldLives.add(worker.life(), worker.heldEnds);
    }
    if (!worker.hiddenEnds.none()) {
      worker.hiddenEnds.leasedUntil(worker.clock.allLapsedMillis());
      hidingLives.add(worker.life(), worker.hiddenEnds, now.mono());
    }
  }

  /** Returns the lives that may never list some ends; those away for longest are last. */
  Set<WorkerLife> hiding() {
    Stream<WorkerLife> known =
        workers.values().stream().filter(worker -> !worker.hiddenEnds.none()).map(Worker::life);
    return Stream.concat(known, hidingLives.latestFirst().stream())
        .collect(Collectors.toCollection(LinkedHashSet::new));
  }

  /** Returns the lowest number that is held on each life with held ends. */
  Map<WorkerLife, Long> firstHeld() {
    Map<WorkerLife, Long> first = new HashMap<>(heldLives.first(now.mono()));
    for (Worker worker : workers.values()) {
      worker.heldEnds.first(now.mono()).ifPresent(number -> first.put(worker.life(), number));
    }
    return first;
  }

  Task find(TaskName name) {
    Job job = jobs.get(name.job());
    return job == null || !job.has(name) ? null : job.task(name);
  }

  /** Has tasks of all jobs know of a start that turned out to be ignored. */
  void noteIgnored(Task task) {
    if (task.startIgnored() && ignoredStarts.add(task.unansweredMillis())) {
      note("start.ignored", task.key(), task.worker.toString());
    }
  }

  /** Says for how long at most a task that waits again is kept from other workers. */
  void noteBound(Task task) {
    task.boundMillis(now.mono())
        .ifPresent(millis -> note("task.bound", task.key(), "millis=" + millis));
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
      hungry.add(task.job);
    }
  }

  private void settle(Task task, Task.EarlierEnd end) {
    long millis = task.boundMillis(now.mono()).orElse(0);
    worker(end.on())
        .map(on -> on.heldEnds)
        .or(() -> heldLives.of(end.on()))
        .ifPresent(held -> held.hold(end.number(), now.mono(), millis));
    unsettled.add(task.job);
  }
}
