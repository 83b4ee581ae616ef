package org.cottontack.daemon.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.cottontack.core.Moment;
import org.cottontack.core.admission.AdmissionLimits;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.job.JobEffect;
import org.cottontack.core.job.JobEvent;
import org.cottontack.core.job.JobId;
import org.cottontack.core.job.JobScheduler;
import org.cottontack.core.job.JobSpec;
import org.cottontack.core.job.JobTable;
import org.cottontack.core.job.JobTiming;
import org.cottontack.core.job.LeaderLease;
import org.cottontack.core.job.ProgressRowId;
import org.cottontack.core.job.ProgressText;
import org.cottontack.core.job.StoredProgress;
import org.cottontack.core.job.WorkerIncarnation;
import org.cottontack.core.load.LoadControl;
import org.cottontack.wire.JobCodec;
import org.cottontack.wire.WireException;

/** Runs one term of leadership: passes events to the scheduler and carries out its effects. */
final class Leader {

  private static final Logger LOG = LogManager.getLogger(Leader.class);

  /**
   * Longest wait for an update that may forbid starts, in milliseconds. An update is up to one wait
   * old when it arrives and up to two waits old when the next one arrives; with a store that is 60
   * times slower, each of these ages grows by 240 ms.
   */
  private static final long MAX_UPDATE_WAIT_MILLIS = 500;

  /** Time between two ticks of the scheduler, in milliseconds. */
  private static final long TICK_MILLIS = 100;

  /**
   * Pause after a decision as a multiple of the time the decision took: decisions use at most half
   * of the processor.
   */
  private static final long PAUSE_FACTOR = 1;

  /**
   * Longest time that the end of a term waits for the store, in milliseconds. Nothing starts in
   * that time.
   */
  private static final long MAX_END_MILLIS = 400;

  /** Longest pause between decisions, in milliseconds: a fifth of the tightest objective. */
  private static final long MAX_PAUSE_MILLIS = 50;

  /**
   * Shortest pause between decisions, in milliseconds: about the time of a save. What is decided
   * sooner waits for the save in flight, but costs as much as a decision on all workers that report
   * meanwhile.
   */
  private static final long MIN_PAUSE_MILLIS = 10;

  private final WatchedStore store;
  private final Timers timers;
  private final WorkerClient workers;
  private final WorkerRegistry registry;
  private final RuleSource rules;
  private final Leadership leadership;
  private final JobMetrics metrics;
  private final long epoch;
  private final ProgressStore progressStore;
  private final LeaseEnds leaseEnds;
  private final WaitingRows waitingRows;
  private final Retention retention;
  private final LoadControl loadControl;
  private final TaskLimit taskLimit = TaskLimit.ofProcess();
  private final Map<JobId, JobSpec> accepted = new HashMap<>();
  private final Set<JobId> cancelled = new HashSet<>();
  private final Set<JobId> unreadableRows = new HashSet<>();
  private final List<TableWatcher> watchers = new ArrayList<>();
  private TableWatcher cancellationWatcher;
  private TableWatcher workerWatcher;
  private StartGate gate;
  private JobTable table = JobTable.EMPTY;
  private Set<DataCentreId> evacuated = Set.of();
  private JobScheduler scheduler;

  /** Read by the loop that sends polls as well. */
  private volatile boolean stopped;

  private int unreadTables;
  private boolean decisionScheduled;
  private long pauseMillis;
  private long decidedMillis;
  private final LeaderWork work;
  private final ReportQueue reports;
  private Optional<Runnable> onEnd = Optional.empty();
  private boolean ended;

  Leader(
      WatchedStore store,
      Timers timers,
      WorkerClient workers,
      WorkerRegistry registry,
      RuleSource rules,
      Leadership leadership,
      JobMetrics metrics,
      Retention retention,
      LoadControl loadControl,
      long epoch) {
    this.store = store;
    this.timers = timers;
    this.workers = workers;
    this.registry = registry;
    this.rules = rules;
    this.leadership = leadership;
    this.metrics = metrics;
    this.retention = retention;
    this.loadControl = loadControl;
    this.epoch = epoch;
    this.progressStore = new ProgressStore(store, timers, epoch, leadership::stepDown);
    this.leaseEnds = new LeaseEnds(leadership.storeClock());
    this.waitingRows = new WaitingRows(store, timers);
    this.work = new LeaderWork(timers, metrics);
    this.reports = new ReportQueue(timers, this::handleAnswer);
  }

  long epoch() {
    return epoch;
  }

  /**
   * Returns whether an instance in the given data centre may lead in place of this one. While this
   * leader takes over it polls no worker and returns true, because a takeover lasts seconds on a
   * small instance and nothing starts meanwhile.
   */
  boolean mayYieldLeadershipTo(String dataCentre) {
    return scheduler == null || scheduler.mayYieldLeadershipTo(new DataCentreId(dataCentre));
  }

  /** Returns how long tasks of unreachable workers have to wait at most, in milliseconds. */
  long longestLeaseWaitMillis() {
    return scheduler == null ? 0 : scheduler.longestLeaseWaitMillis(timers.now());
  }

  /** Returns the jobs that instances are to reject at present; none before the term has begun. */
  AdmissionLimits admissionLimits() {
    return scheduler == null ? AdmissionLimits.NONE : scheduler.admissionLimits();
  }

  void start() {
    progressStore.takeOver(this::readTables);
  }

  /**
   * Lets the next leader know all progress and when the leases of unreachable workers end, and then
   * ends the term. No worker reports to this leader any more: a completion that only this leader
   * gets to know would be lost with a worker that leaves.
   *
   * @param done called once that is stored, or after {@link #MAX_END_MILLIS}
   */
  void end(Runnable done) {
    reports.handleAll();
    onEnd = Optional.of(done);
    workers.abandonPolls();
    timers.after(MAX_END_MILLIS, this::endTerm);
    prepareEnd();
  }

  private void prepareEnd() {
    if (stopped || scheduler == null) {
      endTerm();
      return;
    }
    carryOut(scheduler.prepareEnd(timers.now()));
    if (scheduler.readyToEnd()) {
      endTerm();
    }
  }

  private void endTerm() {
    if (!ended) {
      ended = true;
      onEnd.ifPresent(Runnable::run);
    }
  }

  void stop() {
    stopped = true;
    workers.abandonPolls();
    watchers.forEach(TableWatcher::stop);
    progressStore.stop();
    waitingRows.stop();
    retention.stop();
  }

  void table(JobTable next) {
    table = next;
    post(new JobEvent.TableChanged(next));
  }

  void evacuate(Set<DataCentreId> dataCentres) {
    evacuated = dataCentres;
    post(new JobEvent.DataCentresEvacuated(dataCentres));
  }

  // Taking over

  private void readTables(ProgressStore.Found found) {
    if (stopped) {
      return;
    }
    leadership.announceGrants();
    Runnable onCurrent = () -> onTableRead(found);
    List<String> parts = JobTables.intakeParts();
    watchers.add(new TableWatcher(store, timers, JobTables.JOBS, parts, this::onJobRow, onCurrent));
    cancellationWatcher =
        new TableWatcher(
                store, timers, JobTables.CANCELS, parts, this::onCancellationRow, onCurrent)
            .withMaxWait(MAX_UPDATE_WAIT_MILLIS);
    watchers.add(cancellationWatcher);
    workerWatcher = registry.watcher(this::post, onCurrent).withMaxWait(MAX_UPDATE_WAIT_MILLIS);
    watchers.add(workerWatcher);
    gate =
        new StartGate(
            timers,
            Map.of(
                FreshnessLimit.CANCELLATIONS, cancellationWatcher::lastRequestSent,
                FreshnessLimit.EVACUATIONS, rules::lastRequestSent,
                FreshnessLimit.WORKERS, workerWatcher::lastRequestSent));
    unreadTables = watchers.size();
    watchers.forEach(TableWatcher::start);
  }

  private void onJobRow(Row row) {
    if (row.removed()) {
      return;
    }
    try {
      JobSpec job = JobCodec.read(new JobId(row.key()), row.value().bytes());
      if (!taskLimit.admits(job)) {
        throw new WireException("job " + job.id() + " has too many tasks: " + job.tasks());
      }
      if (scheduler == null) {
        accepted.put(job.id(), job);
      } else {
        onJobArrived(job);
      }
    } catch (WireException e) {
      LOG.error("skipping unreadable job {}", row.key(), e);
      if (scheduler == null) {
        unreadableRows.add(new JobId(row.key()));
      }
    }
  }

  /**
   * Posts a new job, and cancels it if a cancellation that found no job is stored for it: another
   * version may store a job in spite of such a cancellation.
   */
  private void onJobArrived(JobSpec job) {
    post(new JobEvent.JobArrived(job));
    if (retention.matchCancellation(job.id())) {
      cancelled(job.id());
    }
  }

  private void onCancellationRow(Row row) {
    JobId id = new JobId(row.key());
    if (row.removed()) {
      retention.cancellationRemoved(row.at());
    } else if (Cancellation.parse(row) == Cancellation.BEFORE_SUBMISSION && !isKnown(id)) {
      retention.addUnmatchedCancellation(row);
    } else if (scheduler == null) {
      cancelled.add(id);
    } else {
      cancelled(id);
    }
  }

  private boolean isKnown(JobId id) {
    return scheduler != null && scheduler.describe(id).isPresent();
  }

  private void cancelled(JobId id) {
    logCancelled(id, scheduler.describe(id).orElse("unknown"));
    post(new JobEvent.JobCancelled(id));
  }

  private void logCancelled(JobId id, String job) {
    LOG.info(
        new StringMapMessage()
            .with("event", "job.cancelHeard")
            .with("subject", id)
            .with("askedMillis", elapsedMillis(cancellationWatcher.deliveredRequestSent()))
            .with("answeredMillis", elapsedMillis(cancellationWatcher.lastResponseReceived()))
            .with("job", job));
  }

  private long elapsedMillis(Moment earlier) {
    return timers.now().longestSince(earlier);
  }

  private void onTableRead(ProgressStore.Found found) {
    unreadTables--;
    if (unreadTables == 0) {
      leadership.begin(() -> begin(found));
    }
  }

  private void begin(ProgressStore.Found found) {
    if (stopped) {
      return;
    }
    final Map<JobId, StoredProgress> progress = found.jobs();
    accepted.keySet().stream().filter(retention::matchCancellation).forEach(cancelled::add);
    JobScheduler created =
        new JobScheduler(
            JobTiming.STANDARD.withStoreLimits(store.limits()),
            loadControl,
            table,
            timers.now(),
            leadership.inheritedLeaseEndMillis());
    scheduler = created;
    post(
        new JobEvent.LeaseEndsRecovered(
            leaseEnds.fromStore(
                found.facts().leaseEnds(), leadership.inheritedLeaseEndMillis(), timers.now())));
    post(
        new JobEvent.StartsRecovered(
            leaseEnds.startsFromStore(found.facts().starts()),
            leaseEnds.ignoredFromStore(found.facts().ignoredStart(), timers.now())));
    post(new JobEvent.LearnedRecovered(found.learned()));
    post(new JobEvent.DataCentresEvacuated(evacuated));
    registry.replay(this::post);
    List<JobId> unreadable =
        progress.keySet().stream().filter(id -> !progress.get(id).readable()).toList();
    unreadable.forEach(id -> LOG.error("not scheduling job {}: its progress is unreadable", id));
    accepted.keySet().removeAll(unreadable);
    progress.keySet().removeAll(unreadable);
    // What still runs of a job that has ended is stopped, and its completions change nothing.
    Set<JobId> leftAlone =
        unreadableRows.stream()
            .filter(id -> !terminal(progress.get(id)))
            .collect(Collectors.toCollection(HashSet::new));
    leftAlone.addAll(unreadable);
    // A row that was unreadable at first may have been read again since.
    accepted.keySet().removeAll(leftAlone);
    post(new JobEvent.JobsLeftAlone(leftAlone));
    accepted.values().stream()
        .filter(job -> !ended(progress.get(job.id())))
        .sorted(Comparator.comparing(JobSpec::id))
        .forEach(job -> recover(job, found));
    cancelled.stream()
        .filter(id -> !ended(progress.get(id)))
        .forEach(
            id -> {
              scheduler.describe(id).ifPresent(job -> logCancelled(id, job));
              post(new JobEvent.JobCancelled(id));
            });
    LOG.info(
        new StringMapMessage()
            .with("event", "leader.ready")
            .with("epoch", epoch)
            .with("jobs", accepted.size()));
    // An earlier leader may have ended before it removed these rows.
    progress.keySet().stream()
        .filter(id -> progress.get(id).begun())
        .forEach(waitingRows::jobStarted);
    // Ended progress without a job is left over from a removal that an earlier leader did not
    // finish. Open progress without a job stays, because this version may be unable to read its
    // job.
    progress.keySet().stream().filter(id -> ended(progress.get(id))).forEach(retention::ended);
    post(new JobEvent.RowsLeftOver(leftOver(found)));
    retention.start();
    accepted.clear();
    cancelled.clear();
    unreadableRows.clear();
    tick();
    waitingRows.start();
  }

  /** Returns the rows of tasks of jobs that have ended or that this leader does not know. */
  private Set<ProgressRowId> leftOver(ProgressStore.Found found) {
    Stream<ProgressRowId> ended =
        found.jobs().entrySet().stream()
            .filter(job -> ended(job.getValue()))
            .flatMap(job -> job.getValue().rows(job.getKey()));
    Stream<ProgressRowId> stray =
        found.stray().entrySet().stream()
            .filter(job -> !accepted.containsKey(job.getKey()))
            .flatMap(job -> StoredProgress.notStarted(job.getValue()).rows(job.getKey()));
    return Stream.concat(ended, stray).collect(Collectors.toSet());
  }

  private static boolean ended(StoredProgress progress) {
    return progress != null && progress.ended();
  }

  private static boolean terminal(StoredProgress progress) {
    return progress != null && progress.phase().terminal();
  }

  private void recover(JobSpec job, ProgressStore.Found found) {
    Optional<StoredProgress> progress =
        Optional.ofNullable(found.jobs().get(job.id()))
            .or(
                () ->
                    Optional.ofNullable(found.stray().get(job.id()))
                        .map(StoredProgress::notStarted));
    post(
        progress
            .<JobEvent>map(stored -> new JobEvent.JobRecovered(job, stored))
            .orElseGet(() -> new JobEvent.JobArrived(job)));
  }

  private void tick() {
    if (!stopped) {
      work.ticked(TICK_MILLIS, scheduler.placementWork());
      timers.after(TICK_MILLIS, this::tick);
      cancellationWatcher.refreshAfterClockJump();
      workerWatcher.refreshAfterClockJump();
      rules.refreshAfterClockJump();
      postTick();
    }
  }

  private void postTick() {
    post(new JobEvent.Tick(leadership.grantRenewal()));
  }

  /** Sends starts again that were not sent because the lease did not permit them. */
  void startsPermitted() {
    postTick();
  }

  // Deciding

  private void post(JobEvent event) {
    if (stopped || scheduler == null) {
      return;
    }
    if (onEnd.isPresent()) {
      handleWhileEnding(event);
      return;
    }
    leadership.renewIfDue();
    updateStartDeadline();
    metrics.event(event);
    List<JobEffect> effects =
        work.spent(LeaderWork.Activity.EVENTS, () -> scheduler.handle(timers.now(), event));
    carryOut(effects);
    scheduleDecision();
  }

  private void scheduleDecision() {
    if (!decisionScheduled) {
      decisionScheduled = true;
      long sinceMillis = timers.now().mono() - decidedMillis;
      timers.after(Math.max(0, pauseMillis - sinceMillis), this::decide);
    }
  }

  /** Handles the answer to a save; nothing else is decided any more. */
  private void handleWhileEnding(JobEvent event) {
    if (event instanceof JobEvent.ProgressSaved || event instanceof JobEvent.ProgressRefused) {
      scheduler.handle(timers.now(), event);
      prepareEnd();
    }
  }

  /** Updates the time until which work may begin according to the last known updates. */
  private void updateStartDeadline() {
    scheduler.handle(timers.now(), new JobEvent.StartsBounded(gate.startDeadlineMillis()));
  }

  /**
   * Makes one decision for all events since the last one; the pause limits its share of the
   * processor.
   */
  private void decide() {
    decisionScheduled = false;
    if (stopped || onEnd.isPresent()) {
      return;
    }
    leadership.renewIfDue();
    updateStartDeadline();
    long began = timers.nanoTime();
    List<JobEffect> effects =
        work.spent(LeaderWork.Activity.DECISIONS, () -> scheduler.decide(timers.now()));
    carryOut(effects);
    long took = timers.nanoTime() - began;
    metrics.decided(took);
    decidedMillis = timers.now().mono();
    long pause = PAUSE_FACTOR * TimeUnit.NANOSECONDS.toMillis(took);
    pauseMillis = Math.min(MAX_PAUSE_MILLIS, Math.max(MIN_PAUSE_MILLIS, pause));
    if (scheduler.placementUnfinished()) {
      scheduleDecision();
    }
  }

  private void carryOut(List<JobEffect> effects) {
    effects.forEach(
        effect -> {
          metrics.effect(effect);
          work.spend(activity(effect), () -> run(effect));
        });
  }

  private static LeaderWork.Activity activity(JobEffect effect) {
    if (effect instanceof JobEffect.SaveProgress) {
      return LeaderWork.Activity.SAVES;
    }
    return effect instanceof JobEffect.Note ? LeaderWork.Activity.LOGS : LeaderWork.Activity.ORDERS;
  }

  private void run(JobEffect effect) {
    if (effect instanceof JobEffect.SaveProgress save) {
      save(save);
    } else if (effect instanceof JobEffect.StartRun start) {
      workers.start(
          start,
          epoch,
          () -> allowStart(start),
          result ->
              post(new JobEvent.StartEnded(start.target().incarnation(), start.run(), result)));
    } else if (effect instanceof JobEffect.StopRun stop) {
      workers.stop(
          stop,
          epoch,
          answered ->
              post(new JobEvent.StopEnded(stop.target().incarnation(), stop.run(), answered)));
    } else if (effect instanceof JobEffect.LookAtWorker poll) {
      poll(poll);
    } else if (effect instanceof JobEffect.PaceRun pace) {
      workers.pace(pace, epoch, answered -> onPaceAnswered(pace, answered));
    } else if (effect instanceof JobEffect.Begun begun) {
      waitingRows.jobStarted(begun.job());
    } else if (effect instanceof JobEffect.HandOver over) {
      timers.soon(() -> leadership.handOver(over.reason()));
    } else if (effect instanceof JobEffect.StepDown down) {
      timers.soon(() -> leadership.stepDown(down.reason()));
    } else if (effect instanceof JobEffect.Note note) {
      LOG.info(
          new StringMapMessage()
              .with("event", note.name())
              .with("subject", note.subject())
              .with("detail", note.detail()));
    }
  }

  private void onPaceAnswered(JobEffect.PaceRun pace, boolean answered) {
    if (!answered) {
      post(new JobEvent.PaceLost(pace.target().incarnation(), pace.run()));
    }
  }

  /**
   * Returns whether a start order may be sent now, and if so records that it is, and the age of the
   * cancellation updates.
   */
  private boolean allowStart(JobEffect.StartRun start) {
    boolean may = mayStart(start);
    if (may) {
      Moment now = timers.now();
      WorkerIncarnation worker = start.target().incarnation();
      scheduler.startSent(now, worker, start.run());
      work.started(scheduler.placedForMillis(now, worker, start.run()));
      metrics.started(gate.ageMillis(FreshnessLimit.CANCELLATIONS));
    }
    return may;
  }

  /**
   * Returns whether a start order may be sent. It needs the lease, and recent updates of
   * cancellations, evacuations and workers. Without them this leader would go on starting tasks
   * after another instance has confirmed to a caller that the job is cancelled, after an operator
   * has received confirmation that a data centre is being evacuated, or after a worker has
   * announced that it leaves.
   */
  private boolean mayStart(JobEffect.StartRun start) {
    return !stopped
        && onEnd.isEmpty()
        && leadership.mayStart()
        && gate.open()
        && scheduler.maySend(start.target().incarnation(), start.run());
  }

  private void poll(JobEffect.LookAtWorker poll) {
    Moment decided = timers.now();
    workers.poll(
        poll,
        epoch,
        () -> maySendPoll(decided),
        result -> reports.add(pollEvent(poll, decided.mono(), result)));
  }

  /**
   * Returns whether a poll may still be sent. Until when it may be carried out late counts from its
   * decision, so one that waited for longer than a leader's lease, as through a pause of the
   * process, is given up. Called on the loop that sends polls.
   */
  private boolean maySendPoll(Moment decided) {
    return !stopped && timers.now().longestSince(decided) < LeaderLease.LEASE_MILLIS;
  }

  private void handleAnswer(JobEvent answer) {
    if (answer instanceof JobEvent.WorkerReported) {
      work.reported();
    }
    post(answer);
  }

  private JobEvent pollEvent(
      JobEffect.LookAtWorker poll, long sent, WorkerClient.PollResult result) {
    WorkerIncarnation worker = poll.target().incarnation();
    return switch (result.outcome()) {
      case ANSWERED -> new JobEvent.WorkerReported(worker, sent, result.report());
      case SILENT -> new JobEvent.WorkerSilent(worker);
      case REBORN -> new JobEvent.WorkerReborn(worker);
      case FENCED -> new JobEvent.WorkerFenced(worker);
    };
  }

  // Saving

  private void save(JobEffect.SaveProgress save) {
    long began = timers.now().mono();
    progressStore.save(
        save,
        save.facts().map(facts -> leaseEnds.toStore(facts, timers.now())),
        new ProgressStore.Listener() {
          @Override
          public void saved() {
            metrics.saved(timers.now().mono() - began);
            save.progress().entrySet().stream()
                .filter(row -> row.getKey().isMain() && ProgressText.ended(row.getValue()))
                .forEach(row -> retention.ended(row.getKey().job()));
            post(new JobEvent.ProgressSaved());
          }

          @Override
          public void refused() {
            post(new JobEvent.ProgressRefused());
          }
        });
  }
}
