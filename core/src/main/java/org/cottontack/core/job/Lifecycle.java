package org.cottontack.core.job;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Handles the stages of a job: arrival, recovery after a change of leader, cancellation and end.
 */
final class Lifecycle {

  private final Term term;
  private final Orders orders;
  private final DurationEstimates estimates;
  private final Urgency urgency;
  private final Set<JobId> cancelledBeforeArrival = new LinkedHashSet<>();

  Lifecycle(Term term, Orders orders, DurationEstimates estimates, Urgency urgency) {
    this.term = term;
    this.orders = orders;
    this.estimates = estimates;
    this.urgency = urgency;
  }

  /**
   * Takes a new job. One that is left alone is not taken when its row becomes readable: its
   * progress is not known to this leader, so tasks that run or are done would run again.
   */
  void arrived(JobSpec spec) {
    if (term.jobs.containsKey(spec.id()) || term.leftAlone.contains(spec.id())) {
      return;
    }
    Job job = new Job(spec, term.now.mono(), term.ignoredStarts);
    estimates.recordArrival(spec.queue(), urgency.work(spec));
    open(job);
    term.logEvent("job.taken", spec.id(), describe(spec));
    if (cancelledBeforeArrival.remove(spec.id())) {
      end(job, JobPhase.CANCELLED);
    }
  }

  private String describe(JobSpec spec) {
    String steps = spec.steps().stream().map(StepSpec::describe).collect(Collectors.joining(", "));
    return "queue=%s objective=%d steps=[%s]"
        .formatted(spec.queue().name(), urgency.objectiveMillis(spec), steps);
  }

  private void open(Job job) {
    term.jobs.put(job.spec.id(), job);
    job.advance(term.now.wall());
    if (!job.phase.terminal()) {
      term.jobsToPlace.add(job);
    }
    term.capacityChanged = true;
    if (!job.phase.terminal() && job.spec.schedule().hasStartTime()) {
      term.scheduledJobs.add(job);
    }
  }

  void recovered(JobEvent.JobRecovered event) {
    Job job = new Job(event.job(), term.now.mono(), term.ignoredStarts);
    ProgressText.restore(job, event.progress());
    job.placedEarlier = job.phase != JobPhase.QUEUED;
    open(job);
    job.tasks().filter(task -> task.worker != null).forEach(this::inherit);
  }

  /**
   * Restores a task's placement. An earlier leader may have sent the start order just before its
   * term ended, so the start may still be carried out late.
   */
  private void inherit(Task task) {
    if (task.worker.identifierReusable()) {
      task.addLateStart(inheritedStart(task), term.now.mono());
    }
    if (task.phase == Task.Phase.PLACED) {
      task.inherit(term.now.mono());
      Worker worker = workerOrUnlisted(task.worker);
      worker.add(task);
      term.recordInheritedStrayLease(worker);
    } else {
      task.worker = null;
      term.waits(task);
    }
  }

  /**
   * Returns the start of a restored task that may still be carried out. Unless it is stored until
   * when, it counts as sent at the end of the last term.
   */
  private LateStart inheritedStart(Task task) {
    return term.leaseEnds
        .startExpiry(task.key())
        .map(
            stored ->
                LateStart.inherited(
                        task.worker, task.spec, term.startMillis, term.inheritedLeaseEndMillis)
                    .within(stored))
        .orElseGet(
            () ->
                LateStart.inherited(
                    task.worker,
                    task.spec,
                    term.startMillis,
                    term.inheritedLeaseEndMillis(task.worker)));
  }

  /**
   * Returns the worker of an incarnation, and adds it as unlisted when it is unknown. A worker that
   * is not registered may still run the tasks that were placed on it.
   */
  private Worker workerOrUnlisted(WorkerIncarnation incarnation) {
    Worker known = term.workers.get(incarnation.worker());
    return known == null
        ? term.add(WorkerInfo.unlisted(incarnation), term.inheritedLeaseEndMillis(incarnation))
        : known;
  }

  /**
   * Cancels a job. Jobs and cancellations are reported separately, so a cancellation may arrive
   * before its job. It is kept until the job arrives: otherwise the job would run although its
   * caller was informed that it is cancelled.
   *
   * <p>A cancelled job is no longer left alone. Any leader that can read it cancels it before it
   * places its tasks, so its runs can be stopped and its completions acknowledged.
   */
  void cancelled(JobId id) {
    term.stopLeavingAlone(id);
    Job job = term.jobs.get(id);
    if (job == null) {
      cancelledBeforeArrival.add(id);
      dropOldestCancellation();
    } else if (!job.phase.terminal()) {
      end(job, JobPhase.CANCELLED);
    }
  }

  private void dropOldestCancellation() {
    if (cancelledBeforeArrival.size() > term.timing.cancelsKept()) {
      cancelledBeforeArrival.remove(cancelledBeforeArrival.iterator().next());
    }
  }

  private void end(Job job, JobPhase phase) {
    orders.recordBegun(job);
    job.phase = phase;
    term.dirty.add(job);
    term.jobsToPlace.remove(job);
    term.scheduledJobs.remove(job);
    term.logEvent("job.ended", job.spec.id(), phase.name());
    job.tasks().filter(task -> task.phase == Task.Phase.PLACED).toList().forEach(orders::withdraw);
  }

  void completeIfFinished(Job job) {
    if (!job.phase.terminal() && job.finished()) {
      end(job, JobPhase.COMPLETE);
    }
  }

  /**
   * Fails the job of a task that crashes its workers.
   *
   * @param task the task
   * @param evidence the crashes of this leader's term that show it, for a log line
   */
  void abandon(Task task, String evidence) {
    if (!task.job.phase.terminal()) {
      String detail = "%s crashes=%d evidence=%d seen=%s";
      term.logEvent(
          "job.givenUp",
          task.job.spec.id(),
          detail.formatted(task.name, task.crashes, task.blamed, evidence));
      end(task.job, JobPhase.FAILED);
    }
  }

  /** Counts the failure of a run, which may be an earlier one of its task. */
  void failed(Task task, int run) {
    task.countFailure(run);
    if (task.failures >= term.table.current(task.job.spec.queue()).maxAttempts()) {
      end(task.job, JobPhase.FAILED);
    }
  }
}
