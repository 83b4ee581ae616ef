package org.cottontack.core.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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
import org.cottontack.core.load.LoadControl;

/**
 * The state of one leader's term: its jobs, its workers and the effects to carry out. It is shared
 * by the parts of {@link JobScheduler} and confined to one thread.
 */
final class Term {

  final JobTiming timing;
  final LoadControl loadControl;
  final long startMillis;
  final long inheritedLeaseEndMillis;
  final Map<JobId, Job> jobs = new LinkedHashMap<>();
  final Map<WorkerId, Worker> workers = new TreeMap<>();
  final Evacuations evacuations = new Evacuations();
  final LostContacts lostContacts = new LostContacts();
  private final IncarnationHistory incarnations = new IncarnationHistory();

  /** Jobs with tasks that wait for a worker. */
  final Set<Job> jobsToPlace = new LinkedHashSet<>();

  /** Jobs with occurrences that are not due yet. */
  final Set<Job> scheduledJobs = new LinkedHashSet<>();

  /** Jobs with a task whose earlier run was reported as done while a later run of it was placed. */
  final Set<Job> jobsToRecheck = new LinkedHashSet<>();

  /**
   * Open jobs whose rows this leader cannot read. They are not among {@link #jobs}. Their runs go
   * on, and their completions are not acknowledged, so that a later leader can store them.
   */
  final Set<JobId> leftAlone = new HashSet<>();

  /** Long-running tasks that wait for a worker while a start of theirs may be in flight. */
  final Set<Task> waitingWithStarts = new LinkedHashSet<>();

  /** Jobs whose progress has changed since it was last saved. */
  final Set<Job> dirty = new LinkedHashSet<>();

  JobTable table;

  /** When the last stored renewal of the leader's lease was sent. Set by the first tick. */
  Moment renewal;

  /** When runs may no longer begin without fresher information, on this leader's steady clock. */
  long startDeadlineMillis = Long.MAX_VALUE;

  /** Whether this term is about to end. */
  boolean ending;

  final StoredLeaseEnds leaseEnds = new StoredLeaseEnds();
  final IgnoredStarts ignoredStarts = new IgnoredStarts();
  final UnlistedSuppressions unlistedSuppressions = new UnlistedSuppressions();
  final UnlistedDeferrals unlistedDeferrals = new UnlistedDeferrals();

  /**
   * Whether the stored set of incarnations that have, or may get, suppressed completions is out of
   * date, so that the next leader would not know some of them.
   */
  boolean incarnationsUnsaved;

  /** Whether something has changed since the last placement pass that may let a task be placed. */
  boolean capacityChanged;

  Moment now;
  List<JobEffect> effects = new ArrayList<>();

  Term(
      JobTiming timing,
      LoadControl loadControl,
      JobTable table,
      Moment start,
      long inheritedLeaseEndMillis) {
    this.timing = timing;
    this.loadControl = loadControl;
    this.table = table;
    this.now = start;
    this.startMillis = start.mono();
    this.inheritedLeaseEndMillis = inheritedLeaseEndMillis;
  }

  void logEvent(String name, Object subject, String detail) {
    effects.add(new JobEffect.Note(name, subject.toString(), detail));
  }

  /**
   * Returns when leases that are given now end at the latest, on this leader's steady clock. It may
   * be in the past.
   */
  long grantEndMillis() {
    return renewal == null ? startMillis : LeaderLease.grantEnd(renewal, now);
  }

  /** Returns the same for leases of one worker. */
  long grantEndMillis(Worker worker) {
    return Math.min(grantEndMillis(), leaseEnds.limitMillis(worker.info.id(), now));
  }

  /** Returns when the renewal that bounds leases given now was sent, on our steady clock. */
  long renewedMillis() {
    return renewal == null ? startMillis : renewal.mono();
  }

  /** Returns when the last order of an earlier leader left at the latest, on our steady clock. */
  long lastInheritedOrderMillis() {
    return inheritedLeaseEndMillis - LeaderLease.GRANT_MILLIS + LeaderLease.LEASE_MILLIS;
  }

  /**
   * Records the lease that an incarnation which has not answered this leader may have got from an
   * order of an earlier leader: runs are stored on the incarnation that the order was meant for, or
   * with the note that such an order may have arrived. A stored end of its leases includes it.
   */
  void recordInheritedStrayLease(Worker worker) {
    if (worker.everAnswered) {
      return;
    }
    long latestEndMillis = lastInheritedOrderMillis() + Fleet.MAX_LEASE_MILLIS;
    worker.placed.values().stream()
        .filter(task -> task.strayLeasePossible || worker.startedAfter(task.worker))
        .map(task -> leaseEnds.endMillis(task.worker).orElse(latestEndMillis))
        .forEach(worker::recordStrayLeaseUntil);
  }

  /** Returns when all leases that earlier leaders granted to a worker have ended. */
  long inheritedLeaseEndMillis(WorkerIncarnation incarnation) {
    long storedEnd = leaseEnds.endMillis(incarnation).orElse(inheritedLeaseEndMillis);
    return Math.min(inheritedLeaseEndMillis, storedEnd);
  }

  /** Returns the worker of an incarnation, if that is its present incarnation. */
  Optional<Worker> worker(WorkerIncarnation incarnation) {
    return Optional.ofNullable(workers.get(incarnation.worker()))
        .filter(worker -> worker.incarnation().equals(incarnation));
  }

  /** Returns the worker whose registry entry may describe an incarnation, if there is one. */
  Optional<Worker> listedAs(WorkerIncarnation incarnation) {
    return Optional.ofNullable(workers.get(incarnation.worker()))
        .filter(worker -> worker.listedAs(incarnation));
  }

  /**
   * Returns the worker on which a task is placed, whichever incarnation of it the task was placed
   * on.
   */
  Worker workerOf(Task task) {
    return workers.get(task.worker.worker());
  }

  /**
   * Adds a worker and replaces the one that had its identifier.
   *
   * @param leaseEndMillis when leases that were not given through this worker have ended
   */
  Worker add(WorkerInfo info, long leaseEndMillis) {
    Acknowledgements acknowledgements = incarnations.acknowledgements(info.id());
    acknowledgements.unanswered();
    LateLeases lateLeases = incarnations.lateLeases(info.id());
    lateLeases.unanswered();
    int restarts = incarnations.restarts(info.incarnation());
    // The former incarnation may be the one that really runs, and may answer again.
    Optional.ofNullable(workers.get(info.id())).ifPresent(this::forget);
    Worker worker =
        new Worker(
            info, evacuations, leaseEnds, restarts, leaseEndMillis, acknowledgements, lateLeases);
    workers.put(info.id(), worker);
    return worker;
  }

  /** Stops leaving a job alone, and withholding the acknowledgements of its completions. */
  void stopLeavingAlone(JobId job) {
    if (leftAlone.remove(job)) {
      workers.values().forEach(worker -> worker.deferredAcknowledgements.stopWithholding(job));
      unlistedDeferrals.stopWithholding(job);
    }
  }

  /** Records that acknowledgements may be sent to an incarnation as soon as this is stored. */
  void acknowledging(WorkerIncarnation incarnation) {
    incarnations.acknowledgements(incarnation.worker()).acknowledging(incarnation, now.mono());
  }

  /** Records that an earlier leader may have sent acknowledgements to an incarnation. */
  void inheritAcknowledged(WorkerIncarnation incarnation) {
    incarnations.acknowledgements(incarnation.worker()).inherit(incarnation, startMillis);
  }

  /**
   * Returns the incarnations whose successors may receive acknowledgements that were sent to them.
   */
  Set<WorkerIncarnation> acknowledgedIncarnations() {
    return incarnations.acknowledged(workers::containsKey, now.mono());
  }

  /** Removes a worker that is not listed. It can be listed again. */
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

  /**
   * Returns the incarnations that have suppressed completions. Those unlisted for longest come
   * last.
   */
  Set<WorkerIncarnation> incarnationsWithSuppressions() {
    Stream<WorkerIncarnation> known =
        workers.values().stream()
            .filter(worker -> !worker.suppressedCompletions.none())
            .map(Worker::incarnation);
    return Stream.concat(known, unlistedSuppressions.latestFirst().stream())
        .collect(Collectors.toCollection(LinkedHashSet::new));
  }

  /**
   * Returns the lowest deferred completion number of each incarnation with deferred
   * acknowledgements.
   */
  Map<WorkerIncarnation, Long> firstDeferred() {
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

  /** Records an ignored start. The record is shared by the tasks of all jobs. */
  void recordIgnoredStart(Task task) {
    if (task.startIgnored() && ignoredStarts.add(task.unansweredMillis())) {
      logEvent("start.ignored", task.key(), task.worker.toString());
    }
  }

  /** Logs for how long at most a waiting task is pinned to one worker. */
  void logPinned(Task task) {
    task.pinnedForMillis(now.mono())
        .ifPresent(millis -> logEvent("task.bound", task.key(), "millis=" + millis));
  }

  /** Takes a task off its worker. The task waits again unless it is done or its job has ended. */
  void release(Task task) {
    Optional.ofNullable(task.worker)
        .map(incarnation -> workers.get(incarnation.worker()))
        .ifPresent(worker -> worker.remove(task));
    task.release().forEach(completion -> deferAcknowledgement(task, completion));
    waits(task);
    dirty.add(task.job);
    capacityChanged = true;
    if (!task.job.phase.terminal()) {
      jobsToPlace.add(task.job);
    }
  }

  /** Records that a task waits for a worker. */
  void waits(Task task) {
    if (task.spec.is(StepSpec.Trait.LASTS) && task.startExpiry().isPresent()) {
      waitingWithStarts.add(task);
    }
  }

  /** Defers the acknowledgement of an earlier run's completion while its task is pinned. */
  private void deferAcknowledgement(Task task, Task.EarlierCompletion completion) {
    long millis = task.pinnedForMillis(now.mono()).orElse(0);
    // A worker that is listed again takes them over with its first answer.
    unlistedDeferrals
        .of(completion.on())
        .or(() -> worker(completion.on()).map(on -> on.deferredAcknowledgements))
        .ifPresent(deferred -> deferred.defer(completion.number(), now.mono(), millis));
    task.job.unsavedCompletions.add(completion.on(), completion.number());
    jobsToRecheck.add(task.job);
  }
}
