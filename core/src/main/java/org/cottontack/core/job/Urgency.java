package org.cottontack.core.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.IntToLongFunction;
import java.util.stream.IntStream;

/**
 * The order in which waiting jobs get workers. The load is a burst that brings more work than fits.
 * By order of arrival or of deadlines all jobs are then late by the whole backlog; so the capacity
 * goes where it brings callers most for the work that is left: to jobs that can still be in time,
 * among them to small and nearly finished ones, and the more so the less time is left. What can
 * only be late comes after that, and what is too late to matter is done in what the others leave. A
 * new job that lasts would keep for minutes the room that short tasks need now, and brings a
 * quarter of what they bring for it: it begins in what they leave, but goes first once it has
 * waited long.
 */
final class Urgency {

  /** Worth of a job to its caller that does not grow with its size, as a share of a mean job's. */
  private static final double FIXED_WORTH = 0.3;

  /** A job is worth at most this many mean jobs: larger ones are one caller's all the same. */
  private static final double MOST_WORTH = 4;

  /** Added to the share of the objective that is left, so that urgency at most quintuples. */
  private static final double URGENCY_OFFSET = 0.25;

  /** Least work that counts as left, in thousandths of a core times milliseconds. */
  private static final double LEAST_WORK = 100_000;

  /** What a result is worth by the time that it can still come at. */
  private enum Chance {
    IN_TIME(1),
    /** Late, but within three times the objective. */
    LATE(0.25),
    /** Of no use to the caller any more. */
    TOO_LATE(0.02);

    /** A result later than this many times its objective is of no use to the caller. */
    private static final int LATEST = 3;

    private final double share;

    Chance(double share) {
      this.share = share;
    }

    static Chance of(long endMillis, long objectiveMillis) {
      if (endMillis <= objectiveMillis) {
        return IN_TIME;
      }
      return endMillis <= LATEST * objectiveMillis ? LATE : TOO_LATE;
    }
  }

  /** How long a new job that lasts waits behind short ones, in milliseconds. */
  private static final long LONGEST_PATIENCE_MILLIS = 10_000;

  /** A waiting job with what decides its turn. */
  private record Turn(Job job, int priority, Rank rank, double score) {}

  /** Groups of one priority, in the order of their turns. */
  private enum Rank {
    FIRST,
    PATIENT,
    LAST
  }

  private static final Comparator<Turn> ORDER =
      Comparator.comparingInt(Turn::priority)
          .thenComparing(Turn::rank)
          .thenComparing(Comparator.comparingDouble(Turn::score).reversed())
          .thenComparing(turn -> turn.job().spec.id());

  private final DurationEstimates estimates;

  Urgency(DurationEstimates estimates) {
    this.estimates = estimates;
  }

  /** Returns the jobs in the order of their turns. */
  List<Job> order(Collection<Job> jobs, long nowMillis) {
    return jobs.stream().map(job -> turn(job, nowMillis)).sorted(ORDER).map(Turn::job).toList();
  }

  private Turn turn(Job job, long nowMillis) {
    int priority = job.spec.queue().priority();
    if (job.spec.isLongRunning()) {
      long waited = nowMillis - job.arrivedMillis;
      Rank rank = job.begun || waited > LONGEST_PATIENCE_MILLIS ? Rank.FIRST : Rank.PATIENT;
      return new Turn(job, priority, rank, Double.MAX_VALUE);
    }
    if (job.spec.schedule().timed()) {
      return new Turn(job, priority, Rank.FIRST, Double.MAX_VALUE);
    }
    long objective = objectiveMillis(job.spec);
    long end = nowMillis - job.arrivedMillis + remainingMillis(job);
    Rank rank = Chance.of(end, objective) == Chance.TOO_LATE ? Rank.LAST : Rank.FIRST;
    return new Turn(job, priority, rank, score(job, objective, end));
  }

  /** Returns how long after its acceptance a job should be complete, in milliseconds. */
  long objectiveMillis(JobSpec spec) {
    return (long) (spec.queue().stretch() * chainMillis(spec)) + spec.queue().targetMillis();
  }

  private double score(Job job, long objective, long end) {
    JobQueue queue = job.spec.queue();
    double left = Math.max(0, objective - end) / (double) Math.max(1, objective);
    double relative = estimates.relativeWork(queue, work(job.spec));
    double worth = Math.min(MOST_WORTH, FIXED_WORTH + (1 - FIXED_WORTH) * relative);
    double work = Math.max(LEAST_WORK, remainingWork(job));
    return worth * Chance.of(end, objective).share / (URGENCY_OFFSET + left) / work;
  }

  /** Returns the whole work of a job, in thousandths of a core times milliseconds. */
  double work(JobSpec spec) {
    return spec.steps().stream()
        .mapToDouble(step -> (double) step.count() * taskWork(spec.queue(), step))
        .sum();
  }

  private double taskWork(JobQueue queue, StepSpec step) {
    return (double) step.need().cpuMillis() * estimates.millis(queue, step);
  }

  private double remainingWork(Job job) {
    return job.occurrences.stream()
        .flatMap(occurrence -> occurrence.steps.stream())
        .mapToDouble(step -> remainingWork(job.spec.queue(), step))
        .sum();
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

  private long chainMillis(JobSpec spec) {
    return chain(spec, step -> estimates.millis(spec.queue(), spec.steps().get(step)));
  }

  /** Returns the probable time of the longest chain of steps that are not done. */
  private long remainingMillis(Job job) {
    return job.occurrences.stream()
        .mapToLong(occurrence -> chain(job.spec, step -> remainingMillis(job, occurrence, step)))
        .max()
        .orElseGet(() -> chainMillis(job.spec));
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

  private static long chain(JobSpec spec, IntToLongFunction millis) {
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
