package org.cottontack.core.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;
import org.cottontack.core.health.WorkerRating;
import org.cottontack.core.id.DataCentreId;

/** The leader's state of one worker; confined to {@link JobScheduler}. */
final class Worker {

  /** Share of their reservation that serving tasks leave idle. They use about 0.42 of it. */
  private static final double IDLE_WHILE_SERVING = 0.5;

  /** Number of different jobs that must fail in a row before the worker is suspected. */
  private static final int FAILED_JOBS = 2;

  /** First pause of a suspected worker, in milliseconds: about the duration of one task. */
  private static final long FIRST_PAUSE_MILLIS = 2_000;

  /**
   * Maximum number of times the first pause is doubled. The longest pause is 16 s, after which one
   * task is tried on the worker again.
   */
  private static final int MAX_DOUBLINGS = 3;

  /**
   * Maximum difference between the clocks of instances and of the store over one lease, in
   * milliseconds.
   */
  private static final long EXPIRY_MARGIN_MILLIS = 100;

  /**
   * Age after which failures are forgotten, in milliseconds: twice the longest pause. Long-running
   * tasks are never done, so where only they run no success would ever clear a worker.
   */
  private static final long FAILURES_KEPT_MILLIS = 32_000;

  /**
   * How long a place is held for a task that moves, in milliseconds: longer than a stop and the
   * report of its end take.
   */
  private static final long PLACE_HELD_MILLIS = 3_000;

  WorkerInfo info;
  final WorkerClock clock = new WorkerClock();
  final Map<RunKey, Task> placed = new HashMap<>();
  final Map<RunKey, Resources> orphans = new HashMap<>();

  /** The orphans that are runs of jobs which are left alone. What they reserve is unknown. */
  private final Set<RunKey> leftAlone = new HashSet<>();

  final Map<RunKey, Long> stopsSent = new HashMap<>();
  final List<ResidualLoad> residualLoads = new ArrayList<>();
  private final Map<StepId, Integer> tasksOfSteps = new HashMap<>();
  private final Map<TaskName, HeldPlace> heldPlaces = new HashMap<>();
  private List<Task> services = List.of();
  private Optional<ContentionSnapshot> contention = Optional.empty();
  private OptionalLong leftoverCpu = OptionalLong.empty();

  /** Whether something has changed since the last placement pass. */
  private boolean changed = true;

  private boolean usableInLastPass;

  /** The last placement pass before which something changed that may let a task be placed here. */
  private long changedPass;

  /**
   * The worker's latest registry entry, if it describes an incarnation that started before the one
   * that has answered.
   */
  Optional<WorkerInfo> staleEntry = Optional.empty();

  boolean registered;
  boolean everAnswered;
  boolean silent;
  boolean pollInFlight;
  boolean leaseWaitLogged;
  long lastPollMillis = Long.MIN_VALUE / 2;

  /** How long it may wait before it answers the last poll, in milliseconds. */
  long lastPollWaitMillis;

  /** When its last answer arrived. */
  long lastAnswerMillis;

  /** End, on our clock, of the lease that the last poll grants; 0 when it grants none. */
  long offeredLeaseEndMillis;

  /** End, on our clock, of leases that orders meant for earlier incarnations may have granted. */
  private long strayLeaseEndMillis;

  /** Latest end, on our clock, of a lease granted by a poll that was answered. */
  private long confirmedLeaseEndMillis;

  /** Whether its last answer listed completions. */
  boolean listsCompletions;

  /** Lowest number among the completions that its last answer listed. */
  long firstListedCompletion;

  long avoidUntilMillis;

  /** What is expected of it; healthy unless worker scores are in force. */
  WorkerRating rating = WorkerRating.HEALTHY;

  private final Evacuations evacuations;
  private final StoredLeaseEnds leaseEnds;
  private final int restarts;
  private final long inheritedLeaseEndMillis;
  private final Set<JobId> failedJobs = new HashSet<>();
  private long failedMillis;
  SuppressedCompletions suppressedCompletions = new SuppressedCompletions();

  /** Shared by all incarnations that this leader has seen. */
  final Acknowledgements acknowledgements;

  /** Shared by all incarnations that this leader has seen. */
  final LateLeases lateLeases;

  DeferredAcknowledgements deferredAcknowledgements = new DeferredAcknowledgements();

  long lastSeenCompletion;
  long lastAcknowledgedCompletion;
  Resources used = Resources.NONE;
  long servingCpu;

  /**
   * The load of a best-effort task that has ended. Reports cover half a second, so they include its
   * load for that long after its end.
   *
   * @param image the image that it ran
   * @param load processor time that it used, in thousandths of a core
   * @param endedMillis when it ended
   */
  record ResidualLoad(String image, double load, long endedMillis) {}

  /**
   * Capacity that is held for a task.
   *
   * @param need what the task reserves
   * @param untilMillis until when it is held, on our steady clock
   */
  private record HeldPlace(Resources need, long untilMillis) {}

  /**
   * Creates the state of a worker that has not been polled yet.
   *
   * @param info the worker's registry entry
   * @param evacuations the data centres that get no new work
   * @param leaseEnds the stored ends of leases of unreachable workers
   * @param restarts how often the worker has restarted under its identifier in this term
   * @param inheritedLeaseEndMillis when leases that others granted have ended, on our steady clock
   * @param acknowledgements what was acknowledged to earlier incarnations
   * @param lateLeases orders that may bring leases meant for earlier incarnations
   */
  Worker(
      WorkerInfo info,
      Evacuations evacuations,
      StoredLeaseEnds leaseEnds,
      int restarts,
      long inheritedLeaseEndMillis,
      Acknowledgements acknowledgements,
      LateLeases lateLeases) {
    this.info = info;
    this.evacuations = evacuations;
    this.leaseEnds = leaseEnds;
    this.restarts = restarts;
    this.inheritedLeaseEndMillis = inheritedLeaseEndMillis;
    this.acknowledgements = acknowledgements;
    this.lateLeases = lateLeases;
  }

  WorkerIncarnation incarnation() {
    return info.incarnation();
  }

  /**
   * Returns whether an incarnation is taken for one that started before this one, which has
   * answered.
   */
  boolean supersedes(WorkerIncarnation other) {
    return everAnswered
        && other.identifierReusable()
        && other.startTimeMillis() < incarnation().startTimeMillis();
  }

  /** Returns whether the worker's registry entry may describe an incarnation. */
  boolean listedAs(WorkerIncarnation incarnation) {
    return incarnation().equals(incarnation)
        || staleEntry.map(WorkerInfo::incarnation).filter(incarnation::equals).isPresent();
  }

  /** Returns the target of orders to this worker. */
  OrderTarget target() {
    return new OrderTarget(info.incarnation(), info.address(), restarts);
  }

  /** Returns whether new work may be placed on this worker. */
  boolean usable(long nowMillis) {
    return accepts(nowMillis) && reportHolds(placed.size() + 1);
  }

  /** Returns whether a run that is placed on this worker may be started. */
  boolean accepts(long nowMillis) {
    return registered
        && everAnswered
        && !silent
        && !closed()
        && leftAlone.isEmpty()
        && reportHolds(placed.size())
        && nowMillis >= avoidUntilMillis;
  }

  /**
   * Returns whether the completions of a number of runs fit into a report behind the withheld ones.
   * Those that do not fit are not listed in this term.
   */
  boolean reportHolds(int runs) {
    long withheld = deferredAcknowledgements.withheld(lastSeenCompletion);
    return withheld == 0 || withheld + runs <= WorkerReport.MAX_COMPLETIONS;
  }

  /**
   * Returns whether its leases may not be extended, because their end may be stored from when it
   * was unreachable.
   */
  boolean leaseLimited() {
    return leaseEnds.contains(info.id());
  }

  /** Returns the highest completion number that may be acknowledged once it is stored. */
  long lastAcknowledgeableCompletion(long nowMillis) {
    return deferredAcknowledgements.acknowledgeable(lastSeenCompletion, nowMillis);
  }

  /**
   * Returns whether the leader will be able to determine whether a run that begins here was done.
   */
  boolean admits(StepSpec spec, long nowMillis) {
    if (suppressedCompletions.none()) {
      return true;
    }
    boolean hasShortLeaseRun =
        placed.values().stream().anyMatch(task -> SuppressedCompletions.mustNotRepeat(task.spec));
    boolean leased = !orphans.isEmpty() || nowMillis < clock.lastLeaseEndMillis();
    // A service never ends. Without this exception it would keep all other work off the worker for
    // as long as it runs there.
    boolean besideService = renewsLeases() && !hasShortLeaseRun;
    return suppressedCompletions.admits(
        spec,
        hasShortLeaseRun,
        besideService || (placed.isEmpty() && !leased),
        besideService,
        nowMillis);
  }

  /** Returns whether a short-lease run is here. */
  boolean hasShortLeaseRun() {
    return !suppressedCompletions.none()
        && placed.values().stream().anyMatch(task -> task.shortLease);
  }

  /**
   * Returns how long a poll may wait while a short-lease run is here, in milliseconds: for its
   * lease, and longer the longer its start goes without an answer.
   */
  long shortLeasePollWaitMillis(long nowMillis) {
    return placed.values().stream()
        .filter(task -> task.shortLease)
        .mapToLong(
            task ->
                Math.max(
                    suppressedCompletions.shortLeaseMillis(task.spec),
                    nowMillis - task.sentMillis()))
        .map(wait -> Math.min(wait, SuppressedCompletions.SHORT_LEASE_MILLIS))
        .max()
        .orElse(0);
  }

  /** Returns whether the runs on this worker are to continue when their leases end. */
  boolean renewsLeases() {
    return suppressedCompletions.none()
        || placed.values().stream()
            .anyMatch(task -> !SuppressedCompletions.mustNotRepeat(task.spec));
  }

  /**
   * Returns whether no new run may begin here, because the worker is about to leave or its data
   * centre is being evacuated.
   */
  boolean closed() {
    return info.draining() || evacuated();
  }

  /** Returns whether the operator is evacuating its data centre. */
  boolean evacuated() {
    return evacuations.contains(info.dataCentre());
  }

  /** Returns whether its capacity counts towards its pool. */
  boolean countsForPool() {
    return registered && !evacuated();
  }

  boolean isIn(DataCentreId dataCentre) {
    return info.dataCentre().equals(dataCentre);
  }

  /** Returns a summary of its answers so far, for a log line. */
  String answerDetails() {
    return "clock=%d seenEnd=%d acknowledgedEnd=%d"
        .formatted(clock.clockMillis(), lastSeenCompletion, lastAcknowledgedCompletion);
  }

  /** Returns whether the worker's capacity is now less than what was placed on it. */
  boolean shrunk() {
    return !free().holds(Resources.NONE);
  }

  /**
   * Returns the capacity that is left; components are negative where the worker is overcommitted. A
   * run of a job that is left alone may use all that is not reserved for other runs.
   */
  Resources free() {
    Resources unreserved = info.capacity().minus(used);
    return leftAlone.isEmpty() ? unreserved : unreserved.min(Resources.NONE);
  }

  /**
   * Returns the capacity that is left for a task: what is held for tasks that move here is left
   * only to these.
   */
  Resources freeFor(Task task, long nowMillis) {
    // Each placement pass asks this of hundreds of workers for hundreds of tasks.
    if (heldPlaces.isEmpty()) {
      return free();
    }
    return heldPlaces.entrySet().stream()
        .filter(place -> !place.getKey().equals(task.name))
        .map(Map.Entry::getValue)
        .filter(place -> nowMillis < place.untilMillis())
        .map(HeldPlace::need)
        .reduce(free(), Resources::minus);
  }

  /** Returns whether capacity is, or was lately, held for tasks that move here. */
  boolean holdsPlaces() {
    return !heldPlaces.isEmpty();
  }

  /** Holds capacity for a task that is stopped elsewhere in order to run here. */
  void holdPlace(Task task, long nowMillis) {
    heldPlaces.values().removeIf(place -> nowMillis >= place.untilMillis());
    heldPlaces.put(task.name, new HeldPlace(task.spec.reserved(), nowMillis + PLACE_HELD_MILLIS));
  }

  /**
   * Records that a run failed here. If one job fails, the job may be at fault. If a second one
   * fails without a success in between, the worker is suspected. It would otherwise use up the
   * attempts of everything placed on it, and all the faster the sooner its runs fail. It is tried
   * again after a pause that doubles each time.
   */
  void failed(JobId job, long nowMillis) {
    if (nowMillis - failedMillis > FAILURES_KEPT_MILLIS) {
      failedJobs.clear();
    }
    failedMillis = nowMillis;
    if (failedJobs.add(job) && failedJobs.size() >= FAILED_JOBS) {
      int doublings = Math.min(failedJobs.size() - FAILED_JOBS, MAX_DOUBLINGS);
      avoidUntilMillis = Math.max(avoidUntilMillis, nowMillis + (FIRST_PAUSE_MILLIS << doublings));
    }
  }

  /** Records that a run was done here. */
  void succeeded() {
    failedJobs.clear();
  }

  /**
   * Returns the processor time that neither reservations nor best-effort tasks take up. What a
   * slowed best-effort task may not use is left to others.
   */
  long leftoverCpu() {
    if (leftoverCpu.isEmpty()) {
      leftoverCpu = OptionalLong.of(computeLeftoverCpu());
    }
    return leftoverCpu.getAsLong();
  }

  private long computeLeftoverCpu() {
    long bestEffortCpu =
        bestEffort()
            .mapToLong(task -> task.spec.need().cpuMillis() * task.pace / Task.FULL_PACE)
            .sum();
    return free().cpuMillis() - bestEffortCpu + (long) (IDLE_WHILE_SERVING * servingCpu);
  }

  /**
   * Records that the worker answered a poll sent at the given time and took the lease that it
   * granted.
   */
  void answered(long sentMillis) {
    if (sentMillis >= lastPollMillis) {
      confirmedLeaseEndMillis = Math.max(confirmedLeaseEndMillis, offeredLeaseEndMillis);
    }
  }

  /** Returns until when, on our clock, the runs here are confirmed to hold a lease. */
  long confirmedLeaseEndMillis() {
    return confirmedLeaseEndMillis;
  }

  /**
   * Returns when all leases, granted by this leader or by earlier ones, are certain to have ended.
   */
  long leasesEndedMillis() {
    return lastLeaseEndMillis() + EXPIRY_MARGIN_MILLIS;
  }

  /** Returns when the last lease granted by this leader or by earlier ones ends. */
  long lastLeaseEndMillis() {
    return Math.max(
        strayLeaseEndMillis, Math.max(clock.lastLeaseEndMillis(), inheritedLeaseEndMillis));
  }

  /**
   * Records that an order which was meant for an earlier incarnation may have granted a lease here.
   * Its end was stated on the clock of that incarnation, which showed more, so it is as long as a
   * worker accepts.
   *
   * @param arrivedMillis when the order arrived at the latest, on our clock
   */
  void recordStrayLease(long arrivedMillis) {
    recordStrayLeaseUntil(arrivedMillis + Fleet.MAX_LEASE_MILLIS);
  }

  /** Records until when such a lease may be in force, on our clock. */
  void recordStrayLeaseUntil(long millis) {
    strayLeaseEndMillis = Math.max(strayLeaseEndMillis, millis);
  }

  /** Returns whether the present incarnation is later than one on which a run is stored. */
  boolean startedAfter(WorkerIncarnation stored) {
    return stored.startTimeMillis() < incarnation().startTimeMillis();
  }

  /**
   * Returns whether such a lease may outlast those that the next leader assumes of a run that
   * starts now.
   */
  boolean strayLeaseOutlasts(long nowMillis) {
    return strayLeaseEndMillis > nowMillis + LeaderLease.GRANT_MILLIS - LeaderLease.LEASE_MILLIS;
  }

  /**
   * Returns whether tasks wait for the leases of this worker to expire because it is unreachable.
   */
  boolean awaitsLeaseEnd() {
    return (silent || !info.reachable()) && !placed.isEmpty();
  }

  /** Returns the data that decides whether another best-effort task may be placed here. */
  ContentionSnapshot contention(Interference interference, long nowMillis) {
    if (contention.isEmpty()) {
      contention = Optional.of(ContentionSnapshot.of(this, interference, nowMillis));
    }
    return contention.get();
  }

  /**
   * Records that loads, paces, the set of runs on this worker or its registry entry have changed.
   */
  void changed() {
    contention = Optional.empty();
    leftoverCpu = OptionalLong.empty();
    changed = true;
  }

  /** Begins a placement pass: records whether something has changed since the last one. */
  void beginPass(long pass, long nowMillis) {
    boolean usable = usable(nowMillis);
    // Held places and restrictions by suppressed completions end by themselves.
    boolean restricted = holdsPlaces() || !suppressedCompletions.none();
    if (changed || restricted || usable != usableInLastPass) {
      changedPass = pass;
    }
    changed = false;
    usableInLastPass = usable;
    heldPlaces.values().removeIf(place -> nowMillis >= place.untilMillis());
  }

  /** Returns the last pass before which something changed that may let a task be placed here. */
  long changedPass() {
    return changedPass;
  }

  /** Returns whether the worker was usable at the beginning of the present placement pass. */
  boolean usableInPass() {
    return usableInLastPass;
  }

  /** Updates what is expected of the worker. */
  void rate(WorkerRating next) {
    changed |= !next.equals(rating);
    rating = next;
  }

  void add(Task task) {
    placed.put(task.key(), task);
    heldPlaces.remove(task.name);
    tasksOfSteps.merge(task.name.step(), 1, Integer::sum);
    count(task.spec, 1);
    listServices();
  }

  void remove(Task task) {
    if (placed.remove(task.key()) != null) {
      tasksOfSteps.computeIfPresent(task.name.step(), (step, n) -> n > 1 ? n - 1 : null);
      count(task.spec, -1);
      listServices();
    }
  }

  private void listServices() {
    Map<JobId, Task> byJob = new HashMap<>();
    serving().forEach(task -> byJob.putIfAbsent(task.job.spec.id(), task));
    services = List.copyOf(byJob.values());
    changed();
  }

  /** Returns whether none of the tasks here is suspected of crashing workers. */
  boolean hasNoSuspect() {
    return placed.values().stream().noneMatch(CrashBlame::suspect);
  }

  /** Returns one serving task of each service on this worker. */
  List<Task> services() {
    return services;
  }

  /** Records an orphan, a run that is not in force; returns whether it was not recorded before. */
  boolean addOrphan(RunKey run, Resources amount) {
    if (orphans.putIfAbsent(run, amount) != null) {
      return false;
    }
    used = used.plus(amount);
    changed();
    return true;
  }

  /**
   * Records a run of a job that is left alone as an orphan; returns whether it was not recorded
   * before.
   */
  boolean addLeftAlone(RunKey run) {
    leftAlone.add(run);
    return addOrphan(run, Resources.NONE);
  }

  /** Returns whether some run here belongs to a job that is left alone. */
  boolean hasLeftAloneRun() {
    return !leftAlone.isEmpty();
  }

  void removeOrphan(RunKey run) {
    leftAlone.remove(run);
    Resources amount = orphans.remove(run);
    if (amount != null) {
      used = used.minus(amount);
      changed();
    }
  }

  private void count(StepSpec spec, int sign) {
    used = sign > 0 ? used.plus(spec.reserved()) : used.minus(spec.reserved());
    if (spec.serves()) {
      servingCpu += sign * spec.need().cpuMillis();
    }
  }

  int tasksOf(StepId step) {
    return tasksOfSteps.getOrDefault(step, 0);
  }

  Stream<Task> serving() {
    return placed.values().stream().filter(task -> task.spec.serves());
  }

  Stream<Task> bestEffort() {
    return placed.values().stream().filter(task -> task.spec.is(StepSpec.Trait.FILLS));
  }

  /** Returns whether a run that ends by itself is here: the trial run of a suspect worker. */
  boolean hasTrial() {
    return placed.values().stream().anyMatch(task -> !task.spec.is(StepSpec.Trait.LASTS));
  }

  /** Returns whether best-effort tasks run beside serving tasks. */
  boolean contended() {
    return !services.isEmpty() && bestEffort().findAny().isPresent();
  }

  /** Returns an amount of processor time as a share of the worker's processors. */
  double share(double cpuMillis) {
    return cpuMillis / Math.max(1, info.capacity().cpuMillis());
  }
}
