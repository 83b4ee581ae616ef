package org.cottontack.core.job;

import java.util.List;
import java.util.function.Predicate;
import org.cottontack.core.admission.AdmissionController;
import org.cottontack.core.admission.AdmissionLimits;
import org.cottontack.core.admission.NewJob;
import org.cottontack.core.admission.ObservedJob;
import org.cottontack.core.admission.Rejection;
import org.cottontack.core.admission.ThroughputMeter;
import org.cottontack.core.load.LoadPart;

/**
 * Observes the jobs of a term for {@link AdmissionController}, publishes its limits and logs their
 * changes. Long-running and scheduled jobs are not limited, and nothing is observed or decided
 * while the part is not in force.
 */
final class AdmissionDecisions {

  /** Time between two decisions, in milliseconds: limits are stored with the lease, as often. */
  private static final long PERIOD_MILLIS = 500;

  private final Term term;
  private final Urgency urgency;
  private final ThroughputMeter meter = new ThroughputMeter();
  private final AdmissionController controller;
  private List<Rejection> rejections = List.of();
  private AdmissionLimits limits = AdmissionLimits.NONE;
  private long decidedMillis;

  AdmissionDecisions(Term term, Urgency urgency) {
    this.term = term;
    this.urgency = urgency;
    this.controller = new AdmissionController(meter);
    this.decidedMillis = term.startMillis;
  }

  /** Records a job that is new to this term. */
  void arrived(JobSpec spec) {
    if (observes(spec) && !term.jobs.containsKey(spec.id())) {
      controller.arrived(
          new NewJob(
              spec.queue().name(),
              declaredWork(spec),
              urgency.work(spec),
              urgency.criticalPathMillis(spec),
              urgency.objectiveMillis(spec)));
    }
  }

  /** Records that a run of a task is done. */
  void done(Task task) {
    JobSpec spec = task.job.spec;
    if (observes(spec)) {
      String queue = spec.queue().name();
      meter.record(
          pool(spec),
          queue,
          controller.sizeClass(queue, declaredWork(spec)),
          urgency.taskWork(spec.queue(), task.spec),
          term.now.mono());
    }
  }

  /** Decides again if that is due, and logs which limits are new and which are lifted. */
  void update() {
    if (!inForce() || term.now.mono() - decidedMillis < PERIOD_MILLIS) {
      return;
    }
    decidedMillis = term.now.mono();
    List<ObservedJob> open =
        term.jobs.values().stream()
            .filter(job -> !job.phase.terminal() && observes(job.spec))
            .map(this::observe)
            .toList();
    List<Rejection> before = rejections;
    rejections = controller.decide(open, term.now.mono());
    limits = new AdmissionLimits(rejections.stream().map(Rejection::limit).toList());
    rejections.stream()
        .filter(absentFrom(before))
        .forEach(r -> term.logEvent("admission.limited", r.limit().queue(), r.describe()));
    before.stream()
        .filter(absentFrom(rejections))
        .forEach(r -> term.logEvent("admission.lifted", r.limit().queue(), "class=" + r.size()));
  }

  /** Returns the jobs that entry instances are to reject at present. */
  AdmissionLimits limits() {
    return limits;
  }

  /** Returns the work of a job as its caller declared it, in thousandths of a core times ms. */
  static double declaredWork(JobSpec spec) {
    return spec.steps().stream()
        .mapToDouble(
            step -> (double) step.count() * step.need().cpuMillis() * step.estimateMillis())
        .sum();
  }

  private ObservedJob observe(Job job) {
    return new ObservedJob(
        pool(job.spec),
        job.spec.queue().name(),
        declaredWork(job.spec),
        urgency.remainingWork(job),
        job.waitsForPlace && term.jobsToPlace.contains(job),
        urgency.mayBeUseful(job, term.now.mono()),
        urgency.mayBeOnTime(job, term.now.mono()));
  }

  private String pool(JobSpec spec) {
    return term.table.current(spec.queue()).pool();
  }

  private boolean inForce() {
    return term.loadControl.has(LoadPart.ADMISSION);
  }

  private boolean observes(JobSpec spec) {
    return inForce() && !spec.isLongRunning() && !spec.schedule().hasStartTime();
  }

  private static Predicate<Rejection> absentFrom(List<Rejection> others) {
    return rejection -> others.stream().noneMatch(rejection::sameSubject);
  }
}
