package org.cottontack.core.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.cottontack.core.id.DataCentreId;

/** What the leader knows of a worker; confined to {@link JobScheduler}. */
final class Worker {

  /** Share of their reservation that serving tasks leave idle: they use about 0.42 of it. */
  private static final double IDLE_WHILE_SERVING = 0.5;

  /** Different jobs that must fail in a row until the worker is suspected. */
  private static final int FAILED_JOBS = 2;

  /** First pause of a suspected worker, in milliseconds: about one task's duration. */
  private static final long FIRST_PAUSE_MILLIS = 2_000;

  /**
   * Longest pause is the first one doubled this often: 16 s, after which one task tries it again.
   */
  private static final int MOST_DOUBLINGS = 3;

  /** What clocks of instances and of the store may differ by in a lease, in milliseconds. */
  private static final long LAPSE_MARGIN_MILLIS = 100;

  /**
   * Age from which on failures are forgotten, in milliseconds: twice the longest pause. Lasting
   * tasks are never done, so where only they run nothing else would ever clear a worker.
   */
  private static final long FAILURES_KEPT_MILLIS = 32_000;

  WorkerInfo info;
  final WorkerClock clock = new WorkerClock();
  final Map<RunKey, Task> placed = new HashMap<>();
  final Map<RunKey, Resources> orphans = new HashMap<>();
  final Map<RunKey, Long> stopsSent = new HashMap<>();
  final List<ResidualLoad> residualLoads = new ArrayList<>();
  private final Map<StepId, Integer> tasksOfSteps = new HashMap<>();
  private List<Task> services = List.of();
  private Optional<ContentionSnapshot> contention = Optional.empty();

  /** Its last entry, where that speaks of a life that began before the one that has answered. */
  Optional<WorkerInfo> staleEntry = Optional.empty();

  boolean registered;
  boolean everAnswered;
  boolean silent;
  boolean pollInFlight;
  boolean leaseWaitLogged;
  long lastPollMillis = Long.MIN_VALUE / 2;

  /** When its last answer came. */
  long lastAnswerMillis;

  /** End, on our clock, of the lease that the last look brings; 0 when it brings none. */
  long offeredLeaseMillis;

  /** Latest end, on our clock, of a lease that an answered look brought. */
  private long heldLeaseMillis;

  /** Whether its last answer listed ends. */
  boolean listsCompletions;

  /** Lowest number of the ends that its last answer listed. */
  long firstListedCompletion;

  long avoidUntilMillis;
  private final Evacuations evacuations;
  private final int restarts;
  private final long inheritedLeaseEndMillis;
  private final Set<JobId> failedJobs = new HashSet<>();
  private long failedMillis;
  SuppressedCompletions suppressedCompletions = new SuppressedCompletions();

  /** Shared by all lives that this leader has seen. */
  final Acknowledgements acknowledgements;

  /** Shared by all lives that this leader has seen. */
  final LateLeases lateLeases;

  DeferredAcknowledgements deferredAcknowledgements = new DeferredAcknowledgements();

  long lastSeenCompletion;
  long lastAcknowledgedCompletion;
  Resources used = Resources.NONE;
  long servingCpu;

  /**
   * A task that fills and has ended: reports cover half a second, so its effect shows for as long.
   *
   * @param image what it ran
   * @param load processor time that it used, in thousandths of a core
   * @param endedMillis when it ended
   */
  record ResidualLoad(String image, double load, long endedMillis) {}

  /**
   * Creates what is known of a worker that was not asked yet.
   *
   * @param info what it says of itself
   * @param evacuations the data centres that get nothing new
   * @param restarts how often it has started again under its identifier in this term
   * @param inheritedLapseMillis when leases that others gave have ended, on our steady clock
   * @param acknowledgements what was acknowledged to the lives before
   * @param lateLeases what may bring leases that were meant for the lives before
   */
  Worker(
      WorkerInfo info,
      Evacuations evacuations,
      int restarts,
      long inheritedLapseMillis,
      Acknowledgements acknowledgements,
      LateLeases lateLeases) {
    this.info = info;
    this.evacuations = evacuations;
    this.restarts = restarts;
    this.inheritedLeaseEndMillis = inheritedLapseMillis;
    this.acknowledgements = acknowledgements;
    this.lateLeases = lateLeases;
  }

  WorkerIncarnation incarnation() {
    return info.incarnation();
  }

  /** Returns whether a life is taken for one before this, which has answered. */
  boolean outlived(WorkerIncarnation other) {
    return everAnswered
        && other.identifierReusable()
        && other.startTimeMillis() < incarnation().startTimeMillis();
  }

  /** Returns whether its entry may speak of a life. */
  boolean listedAs(WorkerIncarnation life) {
    return incarnation().equals(life)
        || staleEntry.map(WorkerInfo::incarnation).filter(life::equals).isPresent();
  }

  /** Returns where orders to it go. */
  OrderTarget target() {
    return new OrderTarget(info.incarnation(), info.address(), restarts);
  }

  /** Returns whether new work may be placed here. */
  boolean usable(long nowMillis) {
    return registered && everAnswered && !silent && !closed() && nowMillis >= avoidUntilMillis;
  }

  /** Returns the highest end that may be acknowledged once it is stored. */
  long lastAcknowledgeableCompletion(long nowMillis) {
    return deferredAcknowledgements.acknowledgeable(lastSeenCompletion, nowMillis);
  }

  /** Returns whether it will be known of a run that begins here whether it was done. */
  boolean admits(StepSpec spec, long nowMillis) {
    if (suppressedCompletions.none()) {
      return true;
    }
    boolean probed =
        placed.values().stream().anyMatch(task -> SuppressedCompletions.mustNotRepeat(task.spec));
    boolean leased = !orphans.isEmpty() || nowMillis < clock.lastLeaseEndMillis();
    // A service never ends. It would keep all other work away for as long as it runs here.
    boolean beside = renewsLeases() && !probed;
    return suppressedCompletions.admits(
        spec, probed, beside || (placed.isEmpty() && !leased), nowMillis);
  }

  /** Returns whether what runs here is to go on when its leases end. */
  boolean renewsLeases() {
    return suppressedCompletions.none()
        || placed.values().stream()
            .anyMatch(task -> !SuppressedCompletions.mustNotRepeat(task.spec));
  }

  /**
   * Returns whether nothing may begin here: it is about to leave, or its data centre is emptied.
   */
  boolean closed() {
    return info.draining() || evacuated();
  }

  /** Returns whether the operator empties its data centre. */
  boolean evacuated() {
    return evacuations.cover(info.dataCentre());
  }

  /** Returns whether its room counts as room of its pool. */
  boolean countsForPool() {
    return registered && !evacuated();
  }

  boolean isIn(DataCentreId dataCentre) {
    return info.dataCentre().equals(dataCentre);
  }

  /** Returns what its answers have said so far, for a log line. */
  String answers() {
    return "clock=%d seenEnd=%d acknowledgedEnd=%d"
        .formatted(clock.clockMillis(), lastSeenCompletion, lastAcknowledgedCompletion);
  }

  /** Returns whether the worker has less by now than what was placed here. */
  boolean shrunk() {
    return !free().holds(Resources.NONE);
  }

  Resources free() {
    return info.capacity().minus(used);
  }

  /**
   * Takes in that a run failed here. One job that fails may be the job's fault; a second one
   * without a success between points at the worker, which would go on to use up the attempts of all
   * that is placed on it, the faster the sooner it fails. It is tried again after a pause that
   * doubles.
   */
  void failed(JobId job, long nowMillis) {
    if (nowMillis - failedMillis > FAILURES_KEPT_MILLIS) {
      failedJobs.clear();
    }
    failedMillis = nowMillis;
    if (failedJobs.add(job) && failedJobs.size() >= FAILED_JOBS) {
      int doublings = Math.min(failedJobs.size() - FAILED_JOBS, MOST_DOUBLINGS);
      avoidUntilMillis = Math.max(avoidUntilMillis, nowMillis + (FIRST_PAUSE_MILLIS << doublings));
    }
  }

  /** Takes in that a run was done here. */
  void succeeded() {
    failedJobs.clear();
  }

  /**
   * Returns processor time that neither reservations nor tasks that fill take up. A slowed task
   * that fills leaves what it may not use to others.
   */
  long leftoverCpu() {
    long filling =
        bestEffort()
            .mapToLong(task -> task.spec.need().cpuMillis() * task.pace / Task.FULL_PACE)
            .sum();
    return free().cpuMillis() - filling + (long) (IDLE_WHILE_SERVING * servingCpu);
  }

  /**
   * Takes in that it answered a look that was sent at a time, and took the lease that it brought.
   */
  void answered(long sentMillis) {
    if (sentMillis >= lastPollMillis) {
      heldLeaseMillis = Math.max(heldLeaseMillis, offeredLeaseMillis);
    }
  }

  /** Returns until when, on our clock, what runs here is known to hold a lease. */
  long heldLeaseMillis() {
    return heldLeaseMillis;
  }

  /** Returns when all leases, our own and those of leaders before us, have certainly ended. */
  long leasesEndedMillis() {
    return Math.max(clock.lastLeaseEndMillis(), inheritedLeaseEndMillis) + LAPSE_MARGIN_MILLIS;
  }

  /** Returns whether tasks here wait until the leases of this worker, out of touch, have ended. */
  boolean awaitsLeaseEnd() {
    return (silent || !info.reachable()) && !placed.isEmpty();
  }

  /** Returns what decides whether one more task that fills may join. */
  ContentionSnapshot contention(Interference interference, long nowMillis) {
    if (contention.isEmpty()) {
      contention = Optional.of(ContentionSnapshot.of(this, interference, nowMillis));
    }
    return contention.get();
  }

  /** Takes in that loads, paces or what runs here have changed. */
  void changed() {
    contention = Optional.empty();
  }

  void add(Task task) {
    placed.put(task.key(), task);
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

  /** Returns one serving task of each service here. */
  List<Task> services() {
    return services;
  }

  /** Takes in a run that is not in force; returns whether it is the first time. */
  boolean addOrphan(RunKey run, Resources amount) {
    if (orphans.putIfAbsent(run, amount) != null) {
      return false;
    }
    used = used.plus(amount);
    changed();
    return true;
  }

  void removeOrphan(RunKey run) {
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

  /** Returns whether tasks that fill run beside tasks that serve. */
  boolean contended() {
    return !services.isEmpty() && bestEffort().findAny().isPresent();
  }

  /** Returns the share of the worker's processors that an amount is. */
  double share(double cpuMillis) {
    return cpuMillis / Math.max(1, info.capacity().cpuMillis());
  }
}
