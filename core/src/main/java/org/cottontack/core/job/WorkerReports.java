package org.cottontack.core.job;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Handles worker reports: what runs, what has ended, and how tasks that share a worker perform. */
final class WorkerReports {

  private static final int MAX_LOGGED_RUNS = 100;

  private final Term term;
  private final Orders orders;
  private final Lifecycle lifecycle;
  private final LostWorkers lostWorkers;
  private final CrashEvidence crashEvidence;
  private final Fleet fleet;
  private final Interference interference;
  private final RunDurations durations;
  private final AdmissionDecisions admission;
  private final WorkerHealth health;
  private final Pacing pacing;

  /** Runs whose checkpoint is logged as too long. */
  private final Map<RunKey, Boolean> oversizedCheckpoints = new LruMap<>(MAX_LOGGED_RUNS);

  WorkerReports(
      Term term,
      Orders orders,
      Lifecycle lifecycle,
      LostWorkers lostWorkers,
      CrashEvidence crashEvidence,
      Fleet fleet,
      Interference interference,
      RunDurations durations,
      AdmissionDecisions admission,
      WorkerHealth health) {
    this.term = term;
    this.orders = orders;
    this.lifecycle = lifecycle;
    this.lostWorkers = lostWorkers;
    this.crashEvidence = crashEvidence;
    this.fleet = fleet;
    this.interference = interference;
    this.durations = durations;
    this.admission = admission;
    this.health = health;
    this.pacing = new Pacing(interference);
  }

  void reported(JobEvent.WorkerReported event) {
    Worker worker = term.worker(event.worker()).orElse(null);
    if (worker == null) {
      return;
    }
    worker.pollInFlight = false;
    if (!worker.incarnation().matchesStartTime(event.report().startTimeMillis())) {
      fleet.otherIncarnationAnswered(worker, event.report().startTimeMillis(), event.sentMillis());
      return;
    }
    worker.acknowledgements.answered();
    worker.lateLeases.answered();
    if (!worker.everAnswered) {
      recordSuppressedCompletions(worker, event);
      restoreDeferredAcknowledgements(worker, event.report());
      recordEarlierIncarnations(worker, event.sentMillis());
    }
    logAnswersAgain(worker, event.report());
    // From this answer on, the worker refuses orders of earlier leaders.
    worker.everAnswered = true;
    worker.silent = false;
    term.lostContacts.remove(worker.incarnation());
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
        .filter(completion -> completion.number() > worker.lastSeenCompletion)
        .forEach(completion -> handle(worker, completion));
    Set<RunKey> listed = new HashSet<>();
    event.report().running().forEach(running -> listed.add(handleRunning(worker, running)));
    if (!event.report().mayOmitCompletions()) {
      releaseMissing(worker, listed, event.sentMillis());
    }
    interference.learn(worker, term.now.mono());
    pacing.adjust(worker, term.now.mono()).forEach(term.effects::add);
    worker.changed();
    relocate(worker);
    stopStalled(worker);
    term.capacityChanged = true;
    boolean toAcknowledge = worker.lastSeenCompletion > worker.lastAcknowledgedCompletion;
    boolean busy = !worker.placed.isEmpty() || !worker.orphans.isEmpty();
    if (busy && !toAcknowledge) {
      orders.poll(worker, orders.pollWaitMillis(worker));
    }
    orders.retryAwaitingAnswer(worker);
  }

  /** Logs what a worker that did not answer lists when it answers again. */
  private void logAnswersAgain(Worker worker, WorkerReport report) {
    if (worker.silent) {
      String detail =
          "silentMillis=%d leasesEndInMillis=%d runs=%d running=%d ended=%d %s"
              .formatted(
                  term.now.mono() - worker.lastAnswerMillis,
                  worker.leasesEndedMillis() - term.now.mono(),
                  worker.placed.size(),
                  report.running().size(),
                  report.completions().size(),
                  worker.answerDetails());
      term.logEvent("worker.answers", worker.info.id(), detail);
    }
  }

  /**
   * Records which completions may never be listed by an incarnation that answers for the first
   * time.
   */
  private void recordSuppressedCompletions(Worker worker, JobEvent.WorkerReported event) {
    long leaseEnd = term.now.mono() + Fleet.MAX_LEASE_MILLIS;
    term.unlistedSuppressions
        .of(worker.incarnation(), leaseEnd)
        .ifPresent(suppressed -> worker.suppressedCompletions = suppressed);
    long earliestStartTime =
        WorkerClock.earliestStartTime(event.report().clockMillis(), event.sentMillis());
    long suppressedUpTo =
        worker.acknowledgements.recordFirstAnswer(worker.incarnation(), earliestStartTime);
    worker.suppressedCompletions.suppressUpTo(suppressedUpTo);
    // This leader does not know what earlier leaders sent.
    boolean inherited = earliestStartTime < term.inheritedLeaseEndMillis + LateStart.LATEST_MILLIS;
    boolean stray =
        worker.lateLeases.mayHaveReached(earliestStartTime)
            || suppressedUpTo == SuppressedCompletions.ANY;
    if (stray) {
      worker.recordStrayLease(term.now.mono());
    }
    if (stray || inherited) {
      worker.suppressedCompletions.leasedUntil(leaseEnd);
    }
    worker.suppressedCompletions.awaitLongTasksUntil(term.now.mono() + LateStart.LATEST_MILLIS);
    if (!worker.suppressedCompletions.none()) {
      term.incarnationsUnsaved = true;
      term.logEvent("worker.hidesEnds", worker.incarnation(), "");
    }
    term.unlistedSuppressions.remove(worker.info.id());
  }

  /**
   * Takes over the acknowledgements that an earlier leader deferred, for an incarnation that
   * answers for the first time.
   */
  private void restoreDeferredAcknowledgements(Worker worker, WorkerReport report) {
    DeferredAcknowledgements deferrals = term.unlistedDeferrals.remove(worker.incarnation());
    if (!report.completions().isEmpty()) {
      worker.deferredAcknowledgements = deferrals;
    }
  }

  /**
   * Records that the runs which an earlier leader placed on earlier incarnations of a worker have
   * ended there.
   */
  private void recordEarlierIncarnations(Worker worker, long sentMillis) {
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
      lostWorkers.restarted(worker, worker, ended, WorkerLoss.GONE_BEFORE_TERM, sentMillis);
      worker.recordStrayLease(term.now.mono());
      worker.suppressedCompletions.suppressUpTo(SuppressedCompletions.ANY);
      worker.suppressedCompletions.leasedUntil(term.now.mono() + Fleet.MAX_LEASE_MILLIS);
    }
  }

  /**
   * Stops a best-effort task that may not run beside the tasks on its worker. While other jobs
   * wait, there is rarely free capacity for it elsewhere. If it were only halted, it and its whole
   * job would wait behind jobs that were submitted later. Once stopped, it waits with the urgency
   * of its job.
   */
  private void relocate(Worker worker) {
    pacing
        .runToMove(worker, term.now.mono())
        .ifPresent(
            task -> {
              term.logEvent("run.moved", task.key(), worker.info.id() + " pace=" + task.pace);
              orders.stop(worker, task.key());
            });
  }

  /**
   * Stops stalled runs. A worker may answer normally while its runs make no progress, and the
   * caller would see a job that never ends. The run resumes elsewhere from its checkpoint.
   */
  private void stopStalled(Worker worker) {
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

  private RunKey handleRunning(Worker worker, WorkerReport.Running running) {
    RunKey key = new RunKey(running.task(), running.run());
    Task task = term.find(running.task());
    if (isLeftAlone(running.task())) {
      if (worker.addLeftAlone(key)) {
        term.logEvent("run.leftAlone", key, worker.info.id() + " listed");
      }
      return key;
    }
    if (task != null) {
      orders.recordBegun(task.job);
    }
    if (task == null || !task.runsAs(worker.incarnation(), running.run())) {
      // A run that is no longer needed still uses the worker, and could complete beside the current
      // run.
      boolean first = worker.addOrphan(key, reserved(worker, running.task()));
      if (first && task != null && task.job.phase == JobPhase.CANCELLED) {
        term.logEvent("run.cancelled", key, worker.info.id() + " not tracked");
      }
      orders.stop(worker, key);
      return key;
    }
    orders.confirm(task);
    orders.logCancelledRun(worker, task, "listed");
    task.began = true;
    task.recordRunFound();
    task.recordStartArrived();
    task.listedMillis = term.now.mono();
    if (task.crashes > 0 && CrashBlame.cleared(task)) {
      task.forgetCrashes();
      term.dirty.add(task.job);
    }
    if (!worker.strayLeaseOutlasts(term.now.mono())
        && task.recordStrayLeaseOutlasted(term.now.mono())) {
      term.dirty.add(task.job);
    }
    if (!running.checkpoint().isEmpty()
        && !running.checkpoint().equals(task.checkpoint)
        && isStorable(running.checkpoint(), key)) {
      task.saved(running.checkpoint(), term.now.mono());
    }
    if (task.progress != running.progress() || task.pace == 0) {
      task.progressMillis = term.now.mono();
    }
    task.progress = running.progress();
    task.load = running.load();
    health.measure(worker, task);
    if (task.obsolete() || worker.suppressedCompletions.appliesTo(task.spec)) {
      orders.stop(worker, key);
    }
    return key;
  }

  /** Returns what a run that is not in force may use; all of its worker if its job is unknown. */
  private Resources reserved(Worker worker, TaskName name) {
    return Optional.ofNullable(term.jobs.get(name.job()))
        .map(job -> job.spec)
        .filter(spec -> spec.has(name))
        .map(spec -> spec.steps().get(name.step().step()).reserved())
        .orElse(worker.info.capacity());
  }

  /**
   * Returns whether a checkpoint fits into a row of the store. The task keeps its last one if not.
   */
  private boolean isStorable(String checkpoint, RunKey run) {
    boolean fits = ProgressText.fits(checkpoint, term.timing.saveLimits().contentBytes());
    if (!fits && oversizedCheckpoints.put(run, true) == null) {
      term.logEvent("checkpoint.tooLong", run, "length=" + checkpoint.length());
    }
    return fits;
  }

  /** Returns whether a task belongs to a job whose rows this leader cannot read. */
  private boolean isLeftAlone(TaskName task) {
    return term.leftAlone.contains(task.job());
  }

  private void handle(Worker worker, WorkerReport.Completion completion) {
    handleCompletion(worker, completion);
    Optional.ofNullable(term.jobs.get(completion.task().job()))
        .filter(term.dirty::contains)
        .ifPresent(job -> job.unsavedCompletions.add(worker.incarnation(), completion.number()));
  }

  private void handleCompletion(Worker worker, WorkerReport.Completion completion) {
    worker.lastSeenCompletion = completion.number();
    worker.suppressedCompletions.listed();
    worker.deferredAcknowledgements.listed(completion.number());
    RunKey key = new RunKey(completion.task(), completion.run());
    worker.removeOrphan(key);
    final boolean stopOrdered = worker.stopsSent.remove(key) != null;
    Task task = term.find(completion.task());
    if (isLeftAlone(completion.task())) {
      worker.deferredAcknowledgements.withhold(completion.number(), completion.task().job());
      String detail = "%s number=%d".formatted(worker.info.id(), completion.number());
      term.logEvent("end.leftAlone", key, detail);
      return;
    }
    if (task == null) {
      logIgnored(worker, completion, "job unknown");
      return;
    }
    orders.recordBegun(task.job);
    boolean inForce = task.runsAs(worker.incarnation(), completion.run());
    boolean lateButDone =
        completion.status() == WorkerReport.CompletionStatus.DONE
            && task.phase == Task.Phase.WAITING;
    if (!inForce && !lateButDone) {
      handleEarlierCompletion(worker, task, completion);
      return;
    }
    if (completion.status() == WorkerReport.CompletionStatus.DONE && task.firstRunAtFullPace()) {
      durations.learn(task, term.now.mono() - task.placedMillis);
    }
    logCompletion(worker, task, completion);
    if (inForce) {
      health.ended(worker, task, completion.status());
    }
    if (inForce && task.spec.is(StepSpec.Trait.FILLS)) {
      worker.residualLoads.add(
          new Worker.ResidualLoad(task.spec.image(), task.load, term.now.mono()));
    }
    task.recordRunFound();
    if (completion.status() == WorkerReport.CompletionStatus.DONE) {
      deferAcknowledgement(worker, task, completion);
    }
    if (inForce) {
      task.recordStartArrived();
      task.recordRefusal();
    }
    term.release(task);
    if (completion.status() == WorkerReport.CompletionStatus.DONE) {
      // The worker survived this run, so earlier crashes had another cause. A failure proves
      // nothing, because some workers fail every run they are given.
      task.forgetCrashes();
    } else {
      if (completion.status() == WorkerReport.CompletionStatus.STOPPED
          && !stopOrdered
          && task.sentByUs()) {
        crashEvidence.endedUndone(task);
      }
      term.logPinned(task);
    }
    if (completion.status() == WorkerReport.CompletionStatus.FAILED) {
      worker.failed(task.job.spec.id(), term.now.mono());
      task.failedOn.add(worker.incarnation());
    }
    if (!completion.checkpoint().isEmpty() && isStorable(completion.checkpoint(), key)) {
      task.checkpoint = completion.checkpoint();
    }
    if (task.spec.is(StepSpec.Trait.LASTS)
        || task.phase == Task.Phase.DONE
        || task.job.phase.terminal()) {
      return;
    }
    if (completion.status() == WorkerReport.CompletionStatus.DONE) {
      worker.succeeded();
      admission.done(task);
      task.phase = Task.Phase.DONE;
      term.jobsToPlace.add(task.job);
      lifecycle.completeIfFinished(task.job);
    } else if (completion.status() == WorkerReport.CompletionStatus.FAILED) {
      lifecycle.failed(task, completion.run());
    }
  }

  /**
   * Handles a completion of a run that is not in force. If that run was done, the task's current
   * run, on whichever worker, is redundant: it is stopped, and the completion becomes final only
   * when the current run is over. If it failed, it counts as an attempt unless it is counted
   * already.
   */
  private void handleEarlierCompletion(
      Worker worker, Task task, WorkerReport.Completion completion) {
    if (completion.status() == WorkerReport.CompletionStatus.FAILED
        && !task.spec.is(StepSpec.Trait.LASTS)
        && task.phase != Task.Phase.DONE
        && !task.obsolete()
        && task.failureUncounted(completion.run())) {
      logCompletion(worker, task, completion);
      term.dirty.add(task.job);
      lifecycle.failed(task, completion.run());
      return;
    }
    boolean counts =
        completion.status() == WorkerReport.CompletionStatus.DONE
            && !task.spec.is(StepSpec.Trait.LASTS);
    if (!counts || task.phase != Task.Phase.PLACED) {
      logIgnored(worker, completion, task.phase + " run=" + task.run);
      return;
    }
    term.logEvent(
        "run.redundant",
        task.key(),
        "%s order=%s began=%s, run %d is done on %s"
            .formatted(
                task.worker.worker(), task.order, task.began, completion.run(), worker.info.id()));
    logCompletion(worker, task, completion);
    task.forgetCrashes();
    task.addEarlierCompletion(
        new Task.EarlierCompletion(worker.incarnation(), completion.number()));
    worker.deferredAcknowledgements.defer(
        completion.number(), term.now.mono(), DeferredAcknowledgements.UNKNOWN_MILLIS);
    orders.withdraw(task);
  }

  /** Logs a completion that changes nothing although it is acknowledged. */
  private void logIgnored(Worker worker, WorkerReport.Completion completion, String reason) {
    if (completion.status() == WorkerReport.CompletionStatus.DONE) {
      String detail = "%s number=%d %s".formatted(worker.info.id(), completion.number(), reason);
      term.logEvent("end.ignored", new RunKey(completion.task(), completion.run()), detail);
    }
  }

  private void deferAcknowledgement(Worker worker, Task task, WorkerReport.Completion completion) {
    long now = term.now.mono();
    task.pinnedForMillis(now)
        .ifPresent(
            millis -> {
              worker.deferredAcknowledgements.defer(completion.number(), now, millis);
              term.logEvent(
                  "end.held", new RunKey(completion.task(), completion.run()), "millis=" + millis);
            });
  }

  /**
   * Logs how long a run took and what slowed it. The duration is approximate: a run that is
   * confirmed only now may have begun earlier.
   */
  private void logCompletion(Worker worker, Task task, WorkerReport.Completion completion) {
    long ran = term.now.mono() - task.placedMillis;
    String detail =
        "%s %s number=%d ran=%d slowed=%d expected=%d"
            .formatted(
                worker.info.id(),
                completion.status(),
                completion.number(),
                task.run == completion.run() && task.placedMillis > 0 ? ran : 0,
                Math.round(task.slowedMillis(term.now.mono())),
                durations.expectedMillis(task));
    term.logEvent("run.ended", new RunKey(completion.task(), completion.run()), detail);
  }

  /**
   * Releases tasks whose runs are missing from a worker's answer to a poll that was sent after the
   * runs were confirmed.
   */
  private void releaseMissing(Worker worker, Set<RunKey> listed, long sentMillis) {
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
              String detail = worker.info.id() + " " + worker.answerDetails();
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
