package org.cottontack.core.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.cottontack.core.Moment;
import org.cottontack.core.admission.AdmissionLimits;
import org.cottontack.core.admission.DurationTails;
import org.cottontack.core.health.WorkerScores;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.load.LoadControl;
import org.cottontack.core.load.LoadPart;
import org.cottontack.core.load.StoredLines;

/**
 * Decides, during one leader's term, which task runs on which worker. A placement is stored before
 * its start order is sent, and a completion is acknowledged to its worker only after it is stored.
 * The next leader therefore finds all the state that it needs in the store and on the workers. This
 * class reads no clock, does no input or output, and is confined to one thread.
 */
public final class JobScheduler {

  private final Term term;
  private final Orders orders;
  private final Lifecycle lifecycle;
  private final WorkerReports workerReports;
  private final CrashEvidence crashEvidence;
  private final LostWorkers lostWorkers;
  private final Fleet fleet;
  private final WorkerHealth health;
  private final PlacementPass placementPass;
  private final ProgressSaver progressSaver;
  private final WaitLog waitLog;
  private long loadLoggedMillis;
  private final AdmissionDecisions admission;

  /**
   * Begins a term.
   *
   * @param timing delays and lease lengths
   * @param table the rules in force
   * @param start when the term began
   * @param inheritedLeaseEndMillis when all leases that earlier leaders gave to workers have ended,
   *     on this leader's steady clock
   */
  public JobScheduler(
      JobTiming timing, JobTable table, Moment start, long inheritedLeaseEndMillis) {
    this(timing, LoadControl.OFF, table, start, inheritedLeaseEndMillis);
  }

  /**
   * Begins a term with load control.
   *
   * @param timing delays and lease lengths
   * @param loadControl the parts of load control in force
   * @param table the rules in force
   * @param start when the term began
   * @param inheritedLeaseEndMillis when all leases that earlier leaders gave to workers have ended,
   *     on this leader's steady clock
   */
  public JobScheduler(
      JobTiming timing,
      LoadControl loadControl,
      JobTable table,
      Moment start,
      long inheritedLeaseEndMillis) {
    this(timing, loadControl, table, start, inheritedLeaseEndMillis, new LearnedInterference());
  }

  /** Begins a term with a model of how tasks slow each other. */
  JobScheduler(
      JobTiming timing,
      LoadControl loadControl,
      JobTable table,
      Moment start,
      long inheritedLeaseEndMillis,
      Interference interference) {
    DurationEstimates durationEstimates = new DurationEstimates();
    Urgency urgency = new Urgency(durationEstimates);
    term = new Term(timing, loadControl, table, start, inheritedLeaseEndMillis);
    orders = new Orders(term);
    lifecycle = new Lifecycle(term, orders, durationEstimates, urgency);
    crashEvidence = new CrashEvidence(term, lifecycle);
    lostWorkers = new LostWorkers(term, crashEvidence);
    WorkerSelector workerSelector = new WorkerSelector(interference);
    admission = new AdmissionDecisions(term, urgency);
    RunDurations runDurations = new RunDurations(term, durationEstimates, new DurationTails());
    WorkerScores scores = new WorkerScores();
    health = new WorkerHealth(term, orders, durationEstimates, workerSelector, scores);
    fleet = new Fleet(term, orders, lostWorkers, crashEvidence, workerSelector, health);
    workerReports =
        new WorkerReports(
            term,
            orders,
            lifecycle,
            lostWorkers,
            crashEvidence,
            fleet,
            interference,
            runDurations,
            admission,
            health);
    waitLog = new WaitLog(term, workerSelector);
    placementPass = new PlacementPass(term, workerSelector, urgency);
    progressSaver =
        new ProgressSaver(
            term,
            orders,
            new LearnedText(
                interference,
                durationEstimates,
                storedParts(runDurations, scores),
                timing.storeLimits().sharedRowBytes()));
  }

  /** Returns the parts of load control in force whose state is stored. */
  private List<StoredLines> storedParts(RunDurations durations, WorkerScores scores) {
    List<StoredLines> parts = new ArrayList<>(durations.storedLines());
    if (term.loadControl.has(LoadPart.WORKER_SCORES)) {
      parts.add(scores);
    }
    return parts;
  }

  /**
   * Handles one event, then places tasks and saves progress.
   *
   * @param moment the time of the event
   * @param event what happened
   * @return the effects to carry out, in order
   */
  public List<JobEffect> reduce(Moment moment, JobEvent event) {
    List<JobEffect> effects = new ArrayList<>(handle(moment, event));
    effects.addAll(decide(moment));
    return effects;
  }

  /**
   * Handles one event and leaves placement and saving to {@link #decide}. After a takeover hundreds
   * of events arrive at once. Deciding after each of them kept a leader busy for longer than its
   * lease.
   */
  public List<JobEffect> handle(Moment moment, JobEvent event) {
    term.now = moment;
    term.effects = new ArrayList<>();
    apply(event);
    term.jobsToRecheck.forEach(lifecycle::completeIfFinished);
    term.jobsToRecheck.clear();
    return term.effects;
  }

  /** Places waiting tasks and saves the progress that changed since the last decision. */
  public List<JobEffect> decide(Moment moment) {
    term.now = moment;
    term.effects = new ArrayList<>();
    placementPass.place();
    progressSaver.save();
    return term.effects;
  }

  /** Returns the jobs that entry instances are to reject at present. */
  public AdmissionLimits admissionLimits() {
    return admission.limits();
  }

  /**
   * Returns whether this leader may yield leadership to an instance of a data centre. That instance
   * must be on this leader's side of any partition, and the ends of the leases of unreachable
   * workers must be stored: the next leader would otherwise count them from this leader's last
   * renewal.
   */
  public boolean mayYieldLeadershipTo(DataCentreId dataCentre) {
    return PartitionDetector.reaches(term.workers.values(), dataCentre)
        && term.leaseEnds.complete(term);
  }

  /**
   * Prepares the end of this term by saving all progress and when the leases of unreachable workers
   * end, including those of workers that have not answered this leader yet. Runs whose start was
   * not sent are taken off their workers.
   *
   * @param moment the present time
   * @return the effects to carry out. Once a save among them is answered, this is to be called
   *     again, until {@link #readyToEnd}.
   */
  public List<JobEffect> prepareEnd(Moment moment) {
    term.now = moment;
    term.effects = new ArrayList<>();
    term.ending = true;
    term.workers.values().stream()
        .flatMap(worker -> worker.placed.values().stream())
        .filter(task -> task.order == Task.Order.UNSAVED && !task.mayHaveBegun())
        .toList()
        .forEach(term::release);
    progressSaver.saveBeforeEnd();
    return term.effects;
  }

  /** Returns whether nothing that {@link #prepareEnd} saves remains to be saved. */
  public boolean readyToEnd() {
    return progressSaver.allSaved() && term.leaseEnds.allStored(term);
  }

  /**
   * Returns whether a start order may still be sent to a worker. While the order waited for its
   * connection, its job may have been cancelled, its task may have been taken off the worker, the
   * worker may have begun to drain, the evacuation of its data centre may have begun, or what the
   * next leader may rely on was stored: when the worker's leases end and its starts expire.
   */
  public boolean maySend(WorkerIncarnation worker, RunKey run) {
    Task task = term.find(run.task());
    return task != null
        && task.runsAs(worker, run.run())
        && !task.obsolete()
        && term.worker(worker).filter(on -> on.closed() || on.leaseLimited()).isEmpty();
  }

  /**
   * Records that a start order leaves now. The time within which it may be carried out counts from
   * then: its connection may have taken a second.
   *
   * @param moment the present time
   * @param worker the worker to which it is sent
   * @param run the run to start
   */
  public void startSent(Moment moment, WorkerIncarnation worker, RunKey run) {
    Task task = term.find(run.task());
    if (task != null && task.runsAs(worker, run.run())) {
      task.startLeft(moment.mono());
      term.worker(worker).ifPresent(on -> on.lateLeases.startSent(run, moment.mono()));
    }
  }

  /** Returns for how long a run has been placed, in milliseconds; 0 if it is not any more. */
  public long placedForMillis(Moment moment, WorkerIncarnation worker, RunKey run) {
    return Optional.ofNullable(term.find(run.task()))
        .filter(task -> task.runsAs(worker, run.run()))
        .map(task -> moment.mono() - task.placedMillis)
        .orElse(0L);
  }

  /**
   * Returns whether the last decision has left waiting tasks to the next one, which is then due
   * without a further event.
   */
  public boolean placementUnfinished() {
    return placementPass.unfinished();
  }

  /** Returns how much work placement has done in this term. */
  public PlacementWork placementWork() {
    return placementPass.work();
  }

  /**
   * Returns a job's phase and the number of its placed runs, for a log line. Empty for a job that
   * this term does not know, such as one that ended before the term began.
   */
  public Optional<String> describe(JobId id) {
    return Optional.ofNullable(term.jobs.get(id)).map(Job::describe);
  }

  /**
   * Returns the longest time until the tasks of an unreachable worker may start elsewhere because
   * its leases have ended, in milliseconds; 0 when no task waits for that.
   *
   * @param now the present time
   */
  public long longestLeaseWaitMillis(Moment now) {
    return term.workers.values().stream()
        .filter(Worker::awaitsLeaseEnd)
        .mapToLong(worker -> worker.leasesEndedMillis() - now.mono())
        .reduce(0, Math::max);
  }

  private void apply(JobEvent event) {
    if (event instanceof JobEvent.WorkerReported e) {
      workerReports.reported(e);
    } else if (event instanceof JobEvent.StartEnded e) {
      started(e);
    } else if (event instanceof JobEvent.StopEnded e) {
      orders.stopEnded(e);
    } else if (event instanceof JobEvent.PaceLost e) {
      orders.paceLost(e);
    } else if (event instanceof JobEvent.ProgressSaved) {
      progressSaver.saved();
    } else if (event instanceof JobEvent.ProgressRefused) {
      progressSaver.refused();
    } else if (event instanceof JobEvent.StartsBounded e) {
      term.startDeadlineMillis = e.untilMillis();
    } else if (event instanceof JobEvent.Tick e) {
      term.renewal = e.renewal();
      tick();
    } else if (event instanceof JobEvent.JobArrived e) {
      admission.arrived(e.job());
      lifecycle.arrived(e.job());
    } else if (event instanceof JobEvent.JobRecovered e) {
      admission.arrived(e.job());
      lifecycle.recovered(e);
    } else if (event instanceof JobEvent.RowsLeftOver e) {
      progressSaver.removeLeftOver(e.rows());
    } else if (event instanceof JobEvent.LearnedRecovered e) {
      progressSaver.restoreLearned(e.learned());
    } else if (event instanceof JobEvent.LeaseEndsRecovered e) {
      term.leaseEnds.recover(e.ends(), term.now);
    } else if (event instanceof JobEvent.StartsRecovered e) {
      term.leaseEnds.recoverStarts(e.starts(), e.ignoredStart());
      e.ignoredStart().ifPresent(term.ignoredStarts::add);
    } else if (event instanceof JobEvent.JobsLeftAlone e) {
      term.leftAlone.addAll(e.jobs());
    } else if (event instanceof JobEvent.JobCancelled e) {
      lifecycle.cancelled(e.job());
    } else if (event instanceof JobEvent.WorkerSeen e) {
      fleet.seen(e.worker());
    } else if (event instanceof JobEvent.WorkerUnlisted e) {
      term.listedAs(e.worker()).ifPresent(fleet::unlisted);
    } else if (event instanceof JobEvent.WorkerSilent e) {
      term.worker(e.worker()).ifPresent(fleet::silent);
    } else if (event instanceof JobEvent.WorkerFenced e) {
      term.worker(e.worker()).ifPresent(orders::fenced);
    } else if (event instanceof JobEvent.WorkerReborn e) {
      term.worker(e.worker()).ifPresent(lostWorkers::replaced);
    } else if (event instanceof JobEvent.TableChanged e) {
      term.table = e.table();
    } else if (event instanceof JobEvent.DataCentresEvacuated e) {
      fleet.evacuated(e.dataCentres());
    }
  }

  private void started(JobEvent.StartEnded event) {
    if (orders.startEnded(event)) {
      term.worker(event.worker()).ifPresent(lostWorkers::replaced);
    }
  }

  private void tick() {
    term.scheduledJobs.stream()
        .filter(job -> job.advance(term.now.wall()))
        .forEach(term.jobsToPlace::add);
    term.capacityChanged = true;
    Collection<Worker> all = List.copyOf(term.workers.values());
    health.tick();
    all.forEach(fleet::tick);
    crashEvidence.tick();
    term.unlistedSuppressions.expire(term.workers::containsKey, term.now.mono());
    admission.update();
    waitLog.tick();
    boolean firstPollsDone = term.now.mono() - term.startMillis > term.timing.firstPollsMillis();
    if (firstPollsDone && PartitionDetector.cutOff(all)) {
      term.effects.add(new JobEffect.HandOver("cut off from most workers"));
    }
    if (term.now.mono() - loadLoggedMillis >= term.timing.logLoadMillis()) {
      loadLoggedMillis = term.now.mono();
      String load = LoadText.of(term.workers.values(), term.jobs.values(), term.now.mono());
      term.logEvent("leader.load", "workers", load);
      fleet.logEvacuations();
    }
  }
}
