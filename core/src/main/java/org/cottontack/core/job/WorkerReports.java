package org.cottontack.core.job;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** What workers report: what runs, what has ended, how tasks that share a worker fare. */
final class WorkerReports {

  private final Term term;
  private final Orders orders;
  private final Lifecycle lifecycle;
  private final LostWorkers lostWorkers;
  private final Fleet fleet;
  private final Interference interference;
  private final DurationEstimates estimates;
  private final Pacing pacing;

  WorkerReports(
      Term term,
      Orders orders,
      Lifecycle lifecycle,
      LostWorkers lostWorkers,
      Fleet fleet,
      Interference interference,
      DurationEstimates estimates) {
    this.term = term;
    this.orders = orders;
    this.lifecycle = lifecycle;
    this.lostWorkers = lostWorkers;
    this.fleet = fleet;
    this.interference = interference;
    this.estimates = estimates;
    this.pacing = new Pacing(interference);
  }

  void reported(JobEvent.WorkerReported event) {
    Worker worker = term.worker(event.worker()).orElse(null);
    if (worker == null) {
      return;
    }
    worker.pollInFlight = false;
    if (!worker.incarnation().matchesStartTime(event.report().startTimeMillis())) {
      fleet.answered(worker, event.report().startTimeMillis(), event.sentMillis());
      return;
    }
    worker.acknowledgements.answered();
    worker.lateLeases.answered();
    if (!worker.everAnswered) {
      hideEnds(worker, event);
      holdEnds(worker, event.report());
      earlierLives(worker, event.sentMillis());
    }
    // From this answer on the worker refuses an earlier leader's orders.
    worker.everAnswered = true;
    worker.silent = false;
    worker.answered(event.sentMillis());
    worker.lastAnswerMillis = term.now.mono();
    worker.listsCompletions = !event.report().completions().isEmpty();
    worker.firstListedCompletion =
        event.report().completions().stream()
            .mapToLong(WorkerReport.Completion::number)
            .min()
            .orElse(0);
    worker.clock.observe(event.report().clockMillis(), term.now.mono());
    event.report().completions().stream()
        .filter(ended -> ended.number() > worker.lastSeenCompletion)
        .forEach(ended -> ended(worker, ended));
    Set<RunKey> listed = new HashSet<>();
    event.report().running().forEach(running -> listed.add(running(worker, running)));
    missing(worker, listed, event.sentMillis());
    interference.learn(worker, term.now.mono());
    pacing.adjust(worker, term.now.mono()).forEach(term.effects::add);
    worker.changed();
    relocate(worker);
    abandonStalled(worker);
    term.roomChanged = true;
    boolean toAcknowledge = worker.lastSeenCompletion > worker.lastAcknowledgedCompletion;
    boolean busy = !worker.placed.isEmpty() || !worker.orphans.isEmpty();
    if (busy && !toAcknowledge) {
      orders.poll(worker, orders.pollWaitMillis(worker));
    }
  }

  /** Takes in which ends a life that answers for the first time may never list. */
  private void hideEnds(Worker worker, JobEvent.WorkerReported event) {
    long leaseEnd = term.now.mono() + Fleet.LONGEST_LEASE_MILLIS;
    term.unlistedSuppressions
        .of(worker.incarnation(), leaseEnd)
        .ifPresent(ends -> worker.suppressedCompletions = ends);
    long born = WorkerClock.earliestBirth(event.report().clockMillis(), event.sentMillis());
    long hidden = worker.acknowledgements.mayHaveReached(worker.incarnation(), born);
    worker.suppressedCompletions.suppressUpTo(hidden);
    // What earlier leaders sent, this one does not know.
    boolean inherited = born < term.inheritedLeaseEndMillis + LateStart.LATEST_MILLIS;
    if (worker.lateLeases.mayHaveReached(born)
        || inherited
        || hidden == SuppressedCompletions.ANY) {
      worker.suppressedCompletions.leasedUntil(leaseEnd);
    }
    if (!worker.suppressedCompletions.none()) {
      term.incarnationsUnsaved = true;
      term.logEvent("worker.hidesEnds", worker.incarnation(), "");
    }
    term.unlistedSuppressions.remove(worker.info.id());
  }

  /** Takes in which ends of a life that answers for the first time an earlier leader held. */
  private void holdEnds(Worker worker, WorkerReport report) {
    DeferredAcknowledgements held = term.unlistedDeferrals.remove(worker.incarnation());
    if (!report.completions().isEmpty()) {
      worker.deferredAcknowledgements = held;
    }
  }

  /** Takes in that what an earlier leader placed on earlier lives of a worker has ended there. */
  private void earlierLives(Worker worker, long sentMillis) {
    List<Task> runs =
        worker.placed.values().stream()
            .filter(task -> !task.worker.equals(worker.incarnation()))
            .toList();
    runs.stream()
        .filter(task -> worker.incarnation().matchesStartTime(task.worker.startTimeMillis()))
        .forEach(task -> task.worker = worker.incarnation());
    List<Task> ended =
        runs.stream().filter(task -> !task.worker.equals(worker.incarnation())).toList();
    if (!ended.isEmpty()) {
      lostWorkers.restarted(worker, ended, false, sentMillis);
      worker.suppressedCompletions.suppressUpTo(SuppressedCompletions.ANY);
      worker.suppressedCompletions.leasedUntil(term.now.mono() + Fleet.LONGEST_LEASE_MILLIS);
    }
  }

  /**
   * Takes a task that fills away from tasks that it may not work beside. While other jobs wait
   * there is hardly ever a free place for it elsewhere; halted, it would wait for one behind jobs
   * that came later, and the whole job with it. Stopped, it waits with its job's urgency.
   */
  private void relocate(Worker worker) {
    pacing
        .stuck(worker, term.now.mono())
        .ifPresent(
            task -> {
              term.logEvent("run.moved", task.key(), worker.info.id() + " pace=" + task.pace);
              orders.stop(worker, task.key());
            });
  }

  /**
   * Stops runs that stand still. A worker may answer well while what runs there makes no progress:
   * the caller sees a job that never ends. The run resumes elsewhere from its checkpoint.
   */
  private void abandonStalled(Worker worker) {
    List<Task> stalled =
        worker.placed.values().stream()
            .filter(task -> task.order == Task.Order.CONFIRMED)
            .filter(task -> task.progress < Task.FULL_PROGRESS)
            .filter(task -> term.now.mono() - task.progressMillis > term.timing.stalledMillis())
            .toList();
    if (!stalled.isEmpty()) {
      worker.avoidUntilMillis = term.now.mono() + term.timing.stalledMillis();
    }
    stalled.forEach(
        task -> {
          term.logEvent("run.stalled", task.key(), worker.info.id() + " at " + task.progress + "%");
          orders.stop(worker, task.key());
        });
  }

  private RunKey running(Worker worker, WorkerReport.Running running) {
    RunKey key = new RunKey(running.task(), running.run());
    Task task = term.find(running.task());
    if (task == null || !task.runsAs(worker.incarnation(), running.run())) {
      // A run that nobody wants still uses the worker, and it could end beside the wanted one.
      boolean first =
          worker.addOrphan(key, task == null ? worker.info.capacity() : task.spec.reserved());
      if (first && task != null && task.job.phase == JobPhase.CANCELLED) {
        term.logEvent("run.cancelled", key, worker.info.id() + " not tracked");
      }
      orders.stop(worker, key);
      return key;
    }
    orders.confirm(task);
    orders.noteCancelled(worker, task, "listed");
    task.began = true;
    task.recordRunFound();
    task.listedMillis = term.now.mono();
    if (task.crashes > 0 && CrashBlame.cleared(task)) {
      task.forgetCrashes();
      term.dirty.add(task.job);
    }
    if (!running.checkpoint().isEmpty() && !running.checkpoint().equals(task.checkpoint)) {
      task.saved(running.checkpoint(), term.now.mono());
    }
    if (task.progress != running.progress() || task.pace == 0) {
      task.progressMillis = term.now.mono();
    }
    task.progress = running.progress();
    task.load = running.load();
    if (task.obsolete() || worker.suppressedCompletions.appliesTo(task.spec)) {
      orders.stop(worker, key);
    }
    return key;
  }

  private void ended(Worker worker, WorkerReport.Completion ended) {
    worker.lastSeenCompletion = ended.number();
    worker.suppressedCompletions.listed();
    worker.deferredAcknowledgements.listed(ended.number());
    RunKey key = new RunKey(ended.task(), ended.run());
    worker.removeOrphan(key);
    worker.stopsSent.remove(key);
    Task task = term.find(ended.task());
    if (task == null) {
      return;
    }
    boolean inForce = task.runsAs(worker.incarnation(), ended.run());
    boolean lateButDone =
        ended.status() == WorkerReport.CompletionStatus.DONE && task.phase == Task.Phase.WAITING;
    if (!inForce && !lateButDone) {
      doneBefore(worker, task, ended);
      return;
    }
    if (ended.status() == WorkerReport.CompletionStatus.DONE && task.firstRunAtFullPace()) {
      estimates.learn(task.job.spec.queue(), task.spec, term.now.mono() - task.placedMillis);
    }
    noteEnd(worker, task, ended);
    if (inForce && task.spec.is(StepSpec.Trait.FILLS)) {
      worker.residualLoads.add(
          new Worker.ResidualLoad(task.spec.image(), task.load, term.now.mono()));
    }
    task.recordRunFound();
    if (ended.status() == WorkerReport.CompletionStatus.DONE) {
      hold(worker, task, ended);
    }
    if (inForce) {
      task.recordRefusal();
    }
    term.release(task);
    if (ended.status() == WorkerReport.CompletionStatus.DONE) {
      // Its worker lived on, so the crashes before had another cause. A failure says nothing: some
      // workers fail all they are given.
      task.forgetCrashes();
    } else {
      CrashBlame.endedUndone(List.of(task)).forEach(lifecycle::giveUp);
      term.logPinned(task);
    }
    if (ended.status() == WorkerReport.CompletionStatus.FAILED) {
      worker.failed(task.job.spec.id(), term.now.mono());
      task.failedOn.add(worker.incarnation());
    }
    task.checkpoint = ended.checkpoint().isEmpty() ? task.checkpoint : ended.checkpoint();
    if (task.spec.is(StepSpec.Trait.LASTS)
        || task.phase == Task.Phase.DONE
        || task.job.phase.terminal()) {
      return;
    }
    if (ended.status() == WorkerReport.CompletionStatus.DONE) {
      worker.succeeded();
      task.phase = Task.Phase.DONE;
      term.jobsToPlace.add(task.job);
      lifecycle.settle(task.job);
    } else if (ended.status() == WorkerReport.CompletionStatus.FAILED) {
      lifecycle.failed(task);
    }
  }

  /**
   * Takes in an end of a run that is not in force. One that is done makes the run in force,
   * wherever it is, a run beside: it is stopped, and the end is final only when that run is over.
   */
  private void doneBefore(Worker worker, Task task, WorkerReport.Completion ended) {
    boolean counts =
        ended.status() == WorkerReport.CompletionStatus.DONE && !task.spec.is(StepSpec.Trait.LASTS);
    if (!counts || task.phase != Task.Phase.PLACED) {
      return;
    }
    noteEnd(worker, task, ended);
    task.forgetCrashes();
    task.addEarlierCompletion(new Task.EarlierCompletion(worker.incarnation(), ended.number()));
    worker.deferredAcknowledgements.defer(
        ended.number(), term.now.mono(), DeferredAcknowledgements.UNKNOWN_MILLIS);
    orders.withdraw(task);
  }

  private void hold(Worker worker, Task task, WorkerReport.Completion ended) {
    long now = term.now.mono();
    task.pinnedForMillis(now)
        .ifPresent(
            millis -> {
              worker.deferredAcknowledgements.defer(ended.number(), now, millis);
              term.logEvent("end.held", new RunKey(ended.task(), ended.run()), "millis=" + millis);
            });
  }

  /** Says how long a run took, and why: a run that is only confirmed now may have begun before. */
  private void noteEnd(Worker worker, Task task, WorkerReport.Completion ended) {
    long ran = term.now.mono() - task.placedMillis;
    String detail =
        "%s %s ran=%d slowed=%d expected=%d"
            .formatted(
                worker.info.id(),
                ended.status(),
                task.run == ended.run() && task.placedMillis > 0 ? ran : 0,
                Math.round(task.slowedMillis(term.now.mono())),
                estimates.millis(task.job.spec.queue(), task.spec));
    term.logEvent("run.ended", new RunKey(ended.task(), ended.run()), detail);
  }

  /** Releases tasks whose runs the worker, asked after it had confirmed them, does not have. */
  private void missing(Worker worker, Set<RunKey> listed, long sentMillis) {
    worker.placed.values().stream()
        .filter(task -> !listed.contains(task.key()))
        .forEach(
            task -> {
              task.notListed(sentMillis);
              term.recordIgnoredStart(task);
            });
    worker.placed.values().stream()
        .filter(task -> task.order == Task.Order.CONFIRMED)
        .filter(task -> sentMillis > task.confirmedMillis && !listed.contains(task.key()))
        .toList()
        .forEach(
            task -> {
              boolean maybeDone = worker.suppressedCompletions.recordMissingRun(task);
              String detail = worker.info.id() + " " + worker.answers();
              term.logEvent("run.missing", task.key(), detail + (maybeDone ? " maybeDone" : ""));
              term.release(task);
              term.logPinned(task);
            });
    worker.orphans.keySet().stream()
        .filter(run -> !listed.contains(run))
        .toList()
        .forEach(worker::removeOrphan);
  }
}
