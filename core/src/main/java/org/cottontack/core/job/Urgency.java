package org.cottontack.core.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.IntToLongFunction;
import java.util.stream.IntStream;

/**
 * Orders waiting jobs by urgency. During a burst more work arrives than the workers can do. In
 * order of arrival or of deadline, all jobs would then be late by the whole backlog. Capacity
 * therefore goes where it brings callers the most value for the work that is left: to jobs that can
 * still be on time, and among them to small and nearly finished ones, the more so the less time is
 * left. Jobs that can only be late come next, and jobs that are too late to matter use the capacity
 * that is left. A new long-running job would occupy for minutes the capacity that short tasks need,
 * and would bring a quarter of the value that they bring for it. It begins in the capacity that
 * they leave, but is placed first once it has waited long.
 */
final class Urgency {

  /**
   * Part of a job's value to its caller that does not grow with its size, as a share of a mean
   * job's value.
   */
  private static final double FIXED_JOB_VALUE = 0.3;

  /** Maximum value of a job, in mean jobs, because a larger job still belongs to one caller. */
  private static final double MAX_JOB_VALUE = 4;

  /**
   * Added to the remaining share of the objective, so that urgency multiplies a score by at most
   * five.
   */
  private static final double URGENCY_OFFSET = 0.25;

  /** Minimum of the remaining work of a job, in thousandths of a core times milliseconds. */
  private static final double MIN_REMAINING_WORK = 100_000;

  /** The value of a result by the time at which it can still be complete. */
  private enum Timeliness {
    IN_TIME(1),
    /** Late, but within three times the objective. */
    LATE(0.25),
    /** Too late to be useful to the caller. */
    TOO_LATE(0.02);

    /** A result that takes more than this many times its objective is useless to the caller. */
    private static final int MAX_OBJECTIVES = 3;

    private final double valueShare;

    Timeliness(double valueShare) {
      this.valueShare = valueShare;
    }

    static Timeliness of(long completionMillis, long objectiveMillis) {
      if (completionMillis <= objectiveMillis) {
        return IN_TIME;
      }
      return completionMillis <= MAX_OBJECTIVES * objectiveMillis ? LATE : TOO_LATE;
    }
  }

  /** Maximum time for which a new long-running job is placed after short ones, in milliseconds. */
  private static final long MAX_DEFERRAL_MILLIS = 10_000;

  /** A waiting job and the keys by which it is sorted. */
  private record RankedJob(Job job, int priority, Rank rank, double score) {}

  /** Groups within one priority, in the order of placement. */
  private enum Rank {
    FIRST,
    DEFERRED,
    LAST
  }

  private static final Comparator<RankedJob> ORDER =
      Comparator.comparingInt(RankedJob::priority)
          .thenComparing(RankedJob::rank)
          .thenComparing(Comparator.comparingDouble(RankedJob::score).reversed())
          .thenComparing(rankedJob -> rankedJob.job().spec.id());

  private final DurationEstimates estimates;

  Urgency(DurationEstimates estimates) {
    this.estimates = estimates;
  }

  /** Returns the jobs in the order of placement. */
  List<Job> order(Collection<Job> jobs, long nowMillis) {
    return jobs.stream()
        .map(job -> rank(job, nowMillis))
        .sorted(ORDER)
        .map(RankedJob::job)
        .toList();
  }

  private RankedJob rank(Job job, long nowMillis) {
    int priority = job.spec.queue().priority();
    if (job.spec.isLongRunning()) {
      long waited = nowMillis - job.arrivedMillis;
      Rank rank = job.mayHaveBegun() || waited > MAX_DEFERRAL_MILLIS ? Rank.FIRST : Rank.DEFERRED;
      return new RankedJob(job, priority, rank, Double.MAX_VALUE);
    }
    if (job.spec.schedule().hasStartTime()) {
      return new RankedJob(job, priority, Rank.FIRST, Double.MAX_VALUE);
    }
    long objectiveMillis = objectiveMillis(job.spec);
    long completionMillis = nowMillis - job.arrivedMillis + remainingMillis(job);
    Rank rank =
        Timeliness.of(completionMillis, objectiveMillis) == Timeliness.TOO_LATE
            ? Rank.LAST
            : Rank.FIRST;
    return new RankedJob(job, priority, rank, score(job, objectiveMillis, completionMillis));
  }

  /** Returns whether a job can still be complete within the time that is useful to its caller. */
  boolean mayBeUseful(Job job, long nowMillis) {
    return timeliness(job, nowMillis) != Timeliness.TOO_LATE;
  }

  /** Returns whether a job can still be complete within its objective. */
  boolean mayBeOnTime(Job job, long nowMillis) {
    return timeliness(job, nowMillis) == Timeliness.IN_TIME;
  }

  private Timeliness timeliness(Job job, long nowMillis) {
    long completionMillis = nowMillis - job.arrivedMillis + remainingMillis(job);
    return Timeliness.of(completionMillis, objectiveMillis(job.spec));
  }

  /** Returns how long after its acceptance a job should be complete, in milliseconds. */
  long objectiveMillis(JobSpec spec) {
    return (long) (spec.queue().stretch() * criticalPathMillis(spec)) + spec.queue().targetMillis();
  }

  private double score(Job job, long objectiveMillis, long completionMillis) {
    JobQueue queue = job.spec.queue();
    double slackShare =
        Math.max(0, objectiveMillis - completionMillis) / (double) Math.max(1, objectiveMillis);
    double relative = estimates.relativeWork(queue, work(job.spec));
    double value = Math.min(MAX_JOB_VALUE, FIXED_JOB_VALUE + (1 - FIXED_JOB_VALUE) * relative);
    double work = Math.max(MIN_REMAINING_WORK, remainingWork(job));
    return value
        * Timeliness.of(completionMillis, objectiveMillis).valueShare
        / (URGENCY_OFFSET + slackShare)
        / work;
  }

  /** Returns the total work of a job, in thousandths of a core times milliseconds. */
  double work(JobSpec spec) {
    return spec.steps().stream()
        .mapToDouble(step -> (double) step.count() * taskWork(spec.queue(), step))
        .sum();
  }

  /** Returns the expected work of a task of a step, in the same unit. */
  double taskWork(JobQueue queue, StepSpec step) {
    return (double) step.need().cpuMillis() * estimates.millis(queue, step);
  }

  /** Returns the work of a job that is not done, in thousandths of a core times milliseconds. */
  double remainingWork(Job job) {
    double open =
        job.open().stream()
            .flatMap(occurrence -> occurrence.steps.stream())
            .mapToDouble(step -> remainingWork(job.spec.queue(), step))
            .sum();
    int waiting = job.waitingOccurrences();
    return waiting == 0 ? open : open + waiting * work(job.spec);
  }

  private double remainingWork(JobQueue queue, List<Task> step) {
    double tasks =
        step.stream()
            .filter(task -> task.phase != Task.Phase.DONE)
            .mapToDouble(Urgency::remainingShare)
            .sum();
    return tasks > 0 ? tasks * taskWork(queue, step.get(0).spec) : 0;
  }

  private static double remainingShare(Task task) {
    if (task.phase == Task.Phase.WAITING && task.checkpoint.isEmpty()) {
      return 1;
    }
    return 1 - Math.min(task.progress, Task.FULL_PROGRESS) / (double) Task.FULL_PROGRESS;
  }

  /** Returns the expected duration of a job to which no task has to wait, in milliseconds. */
  long criticalPathMillis(JobSpec spec) {
    return criticalPath(spec, step -> estimates.millis(spec.queue(), spec.steps().get(step)));
  }

  /**
   * Returns the expected duration of the critical path through the steps that are not done, in
   * milliseconds.
   */
  private long remainingMillis(Job job) {
    return job.open().stream()
        .mapToLong(
            occurrence -> criticalPath(job.spec, step -> remainingMillis(job, occurrence, step)))
        .max()
        .orElseGet(() -> criticalPathMillis(job.spec));
  }

  private long remainingMillis(Job job, Job.Occurrence occurrence, int step) {
    double share =
        occurrence.steps.get(step).stream()
            .filter(task -> task.phase != Task.Phase.DONE)
            .mapToDouble(Urgency::remainingShare)
            .max()
            .orElse(0);
    return Math.round(share * estimates.millis(job.spec.queue(), job.spec.steps().get(step)));
  }

  private static long criticalPath(JobSpec spec, IntToLongFunction millis) {
    long[] ends = new long[spec.steps().size()];
    IntStream.range(0, ends.length)
        .forEach(
            step -> {
              List<Integer> after = spec.steps().get(step).after();
              long start = after.stream().mapToLong(before -> ends[before]).max().orElse(0);
              ends[step] = start + millis.applyAsLong(step);
            });
    return IntStream.range(0, ends.length).mapToLong(step -> ends[step]).max().orElse(0);
  }
}
