package org.cottontack.core.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.cottontack.core.Moment;
import org.cottontack.core.id.DataCentreId;

/**
 * The decisions of one leader's term: which task runs on which worker. A placement is stored before
 * its start order leaves, and an end is acknowledged to its worker only after it is stored, so that
 * the next leader finds all it needs in the store and on the workers. It reads no clock and does no
 * input or output; confined to one thread.
 */
public final class JobScheduler {

  private final Term term;
  private final Orders orders;
  private final Lifecycle lifecycle;
  private final WorkerReports workerReports;
  private final LostWorkers lostWorkers;
  private final Fleet fleet;
  private final PlacementPass placementPass;
  private final ProgressSaver progressSaver;
  private long loadLoggedMillis;

  /**
   * Begins a term.
   *
   * @param timing waits and lease lengths
   * @param table the rules in force
   * @param start when the term began
   * @param inheritedLapseMillis the steady time at which every lease that earlier leaders gave to
   *     workers has ended
   */
  public JobScheduler(JobTiming timing, JobTable table, Moment start, long inheritedLapseMillis) {
    this(timing, table, start, inheritedLapseMillis, new LearnedInterference());
  }

  /** Begins a term with what is known of how tasks slow each other. */
  JobScheduler(
      JobTiming timing,
      JobTable table,
      Moment start,
      long inheritedLapseMillis,
      Interference interference) {
    DurationEstimates durationEstimates = new DurationEstimates();
    Urgency urgency = new Urgency(durationEstimates);
    term = new Term(timing, table, start, inheritedLapseMillis);
    orders = new Orders(term);
    lifecycle = new Lifecycle(term, orders, durationEstimates, urgency);
    WorkerSelector workerSelector = new WorkerSelector(interference);
    lostWorkers = new LostWorkers(term, lifecycle);
    fleet = new Fleet(term, orders, lostWorkers, workerSelector);
    workerReports =
        new WorkerReports(
            term, orders, lifecycle, lostWorkers, fleet, interference, durationEstimates);
    placementPass = new PlacementPass(term, workerSelector, urgency);
    progressSaver =
        new ProgressSaver(term, orders, new LearnedText(interference, durationEstimates));
  }

  /**
   * Takes one event in and decides.
   *
   * @param moment the time of the event
   * @param event what happened
   * @return what is to be done, in order
   */
  public List<JobEffect> reduce(Moment moment, JobEvent event) {
    List<JobEffect> effects = new ArrayList<>(handle(moment, event));
    effects.addAll(decide(moment));
    return effects;
  }

  /**
   * Takes one event in and leaves placing and saving to {@link #decide}. After a takeover hundreds
   * of events come at once; deciding after each of them kept a leader busy for longer than its
   * lease.
   */
  public List<JobEffect> handle(Moment moment, JobEvent event) {
    term.now = moment;
    term.effects = new ArrayList<>();
    apply(event);
    term.jobsToRecheck.forEach(lifecycle::settle);
    term.jobsToRecheck.clear();
    return term.effects;
  }

  /** Places what waits and saves what has changed since the last decision. */
  public List<JobEffect> decide(Moment moment) {
    term.now = moment;
    term.effects = new ArrayList<>();
    placementPass.place();
    progressSaver.save();
    return term.effects;
  }

  /**
   * Returns whether an instance of a data centre may lead in place of this one: it is on our side
   * of any partition, and no tasks wait for the leases of a worker out of touch to end. The next
   * leader would begin that wait anew, from this one's last renewal.
   */
  public boolean mayYieldLeadershipTo(DataCentreId dataCentre) {
    return PartitionDetector.reaches(term.workers.values(), dataCentre)
        && term.workers.values().stream().noneMatch(Worker::awaitsLeaseEnd);
  }

  /**
   * Returns whether an order to start may still leave for a worker. It may have waited for its
   * connection while its job was cancelled, its task was taken off the worker, or the worker said
   * that it leaves or its data centre began to be emptied.
   */
  public boolean maySend(WorkerIncarnation worker, RunKey run) {
    Task task = term.find(run.task());
    return task != null
        && task.runsAs(worker, run.run())
        && !task.obsolete()
        && term.worker(worker).filter(Worker::closed).isEmpty();
  }

  /**
   * Returns what is known of a job, for a log line: its phase and how many of its runs are placed.
   * Empty when it is not known, as one that had ended before this term.
   */
  public Optional<String> describe(JobId id) {
    return Optional.ofNullable(term.jobs.get(id)).map(Job::describe);
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
    } else if (event instanceof JobEvent.StartsBounded e) {
      term.startDeadlineMillis = e.untilMillis();
    } else if (event instanceof JobEvent.Tick e) {
      term.renewal = e.renewal();
      tick();
    } else if (event instanceof JobEvent.JobArrived e) {
      lifecycle.arrived(e.job());
    } else if (event instanceof JobEvent.JobRecovered e) {
      lifecycle.recovered(e);
    } else if (event instanceof JobEvent.LearnedRecovered e) {
      progressSaver.restoreLearned(e.learned());
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
      term.worker(e.worker()).ifPresent(lostWorkers::reborn);
    } else if (event instanceof JobEvent.TableChanged e) {
      term.table = e.table();
    } else if (event instanceof JobEvent.DataCentresEvacuated e) {
      fleet.evacuated(e.dataCentres());
    }
  }

  private void started(JobEvent.StartEnded event) {
    if (orders.startEnded(event)) {
      term.worker(event.worker()).ifPresent(lostWorkers::reborn);
    }
  }

  private void tick() {
    term.scheduledJobs.stream()
        .filter(job -> job.advance(term.now.wall()))
        .forEach(term.jobsToPlace::add);
    term.roomChanged = true;
    Collection<Worker> all = List.copyOf(term.workers.values());
    all.forEach(fleet::tick);
    term.unlistedSuppressions.expire(term.workers::containsKey, term.now.mono());
    boolean settled = term.now.mono() - term.startMillis > term.timing.settleMillis();
    if (settled && PartitionDetector.cutOff(all)) {
      term.effects.add(new JobEffect.HandOver("cut off from most workers"));
    }
    if (term.now.mono() - loadLoggedMillis >= term.timing.logLoadMillis()) {
      loadLoggedMillis = term.now.mono();
      String load = LoadText.of(term.workers.values(), term.jobs.values(), term.now.mono());
      term.logEvent("leader.load", "workers", load);
      fleet.noteEvacuations();
    }
  }
}
