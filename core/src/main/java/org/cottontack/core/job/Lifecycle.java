package org.cottontack.core.job;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.stream.Collectors;

/** The life of a job: taken, recovered after a change of leader, cancelled, ended. */
final class Lifecycle {

  private final Term term;
  private final Orders orders;
  private final DurationEstimates estimates;
  private final Urgency urgency;
  private final Set<JobId> cancelledUnseen = new LinkedHashSet<>();

  Lifecycle(Term term, Orders orders, DurationEstimates estimates, Urgency urgency) {
    this.term = term;
    this.orders = orders;
    this.estimates = estimates;
    this.urgency = urgency;
  }

  void arrived(JobSpec spec) {
    if (term.jobs.containsKey(spec.id())) {
      return;
    }
    Job job = new Job(spec, term.now.mono(), term.ignoredStarts);
    estimates.arrived(spec.queue(), urgency.work(spec));
    open(job);
    term.logEvent("job.taken", spec.id(), describe(spec));
    if (cancelledUnseen.remove(spec.id())) {
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
    term.roomChanged = true;
    if (!job.phase.terminal() && job.spec.schedule().timed()) {
      term.scheduledJobs.add(job);
    }
  }

  void recovered(JobEvent.JobRecovered event) {
    Job job = new Job(event.job(), term.now.mono(), term.ignoredStarts);
    ProgressText.restore(job, event.progress());
    job.begun = job.phase != JobPhase.QUEUED;
    open(job);
    job.tasks().filter(task -> task.worker != null).forEach(this::inherit);
  }

  /** An earlier leader may have sent its start just before it ended. */
  private void inherit(Task task) {
    if (task.worker.identifierReusable()) {
      long lapse = term.inheritedLeaseEndMillis;
      task.addLateStart(
          LateStart.inherited(task.worker, task.spec, term.startMillis, lapse), term.now.mono());
    }
    if (task.phase == Task.Phase.PLACED) {
      holder(task.worker).add(task);
    } else {
      task.worker = null;
    }
  }

  /** A worker that is not registered may still run what it was given. */
  private Worker holder(WorkerIncarnation life) {
    Worker known = term.workers.get(life.worker());
    return known == null
        ? term.add(WorkerInfo.unlisted(life), term.inheritedLeaseEndMillis)
        : known;
  }

  /**
   * News of jobs and of cancellations come separately. A cancellation that overtakes its job is
   * kept for it; ignored, the job would run although its caller was told that it is cancelled.
   */
  void cancelled(JobId id) {
    Job job = term.jobs.get(id);
    if (job == null) {
      cancelledUnseen.add(id);
      forgetOldest();
    } else if (!job.phase.terminal()) {
      end(job, JobPhase.CANCELLED);
    }
  }

  private void forgetOldest() {
    if (cancelledUnseen.size() > term.timing.cancelsKept()) {
      cancelledUnseen.remove(cancelledUnseen.iterator().next());
    }
  }

  private void end(Job job, JobPhase phase) {
    if (!job.begun) {
      job.begun = true;
      term.effects.add(new JobEffect.Begun(job.spec.id()));
    }
    job.phase = phase;
    term.dirty.add(job);
    term.jobsToPlace.remove(job);
    term.scheduledJobs.remove(job);
    term.logEvent("job.ended", job.spec.id(), phase.name());
    job.tasks().filter(task -> task.phase == Task.Phase.PLACED).toList().forEach(orders::withdraw);
  }

  void settle(Job job) {
    if (!job.phase.terminal() && job.finished()) {
      end(job, JobPhase.COMPLETE);
    }
  }

  /** Ends a job one task of which crashes its workers. */
  void giveUp(Task task) {
    if (!task.job.phase.terminal()) {
      term.logEvent("job.givenUp", task.job.spec.id(), task.name + " crashes=" + task.crashes);
      end(task.job, JobPhase.FAILED);
    }
  }

  void failed(Task task) {
    task.failures++;
    if (task.failures >= term.table.current(task.job.spec.queue()).maxAttempts()) {
      end(task.job, JobPhase.FAILED);
    }
  }
}
