package org.cottontack.core.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The order in which waiting jobs get workers. The load is a burst that brings more work than fits:
 * by order of arrival each job would then be late by the whole backlog. So a job that can still
 * meet its objective goes before one that can only be late, and that one before one that is too
 * late to matter; within each group the one that must start soonest goes first. Nothing starves for
 * good: what is too late is done in what the others leave.
 */
final class Urgency {

  /** A result later than this many times its objective is of no use to the caller. */
  private static final int LATEST = 3;

  private Urgency() {}

  /** A waiting job with what decides its turn. */
  private record Turn(Job job, int priority, int group, long startBy) {}

  private static final Comparator<Turn> ORDER =
      Comparator.comparingInt(Turn::priority)
          .thenComparingInt(Turn::group)
          .thenComparingLong(Turn::startBy)
          .thenComparing(turn -> turn.job().spec.id());

  /** Returns the jobs in the order of their turns. */
  static List<Job> order(Collection<Job> jobs, long nowMillis) {
    return jobs.stream().map(job -> turn(job, nowMillis)).sorted(ORDER).map(Turn::job).toList();
  }

  private static Turn turn(Job job, long nowMillis) {
    JobQueue queue = job.spec.queue();
    long objective = (long) (queue.stretch() * job.spec.chainMillis()) + queue.targetMillis();
    long left = remainingMillis(job);
    long startBy = job.arrivedMillis + objective - left;
    long lastStart = job.arrivedMillis + LATEST * objective - left;
    if (job.spec.lasts() || job.spec.schedule().timed() || nowMillis <= startBy) {
      return new Turn(job, queue.priority(), 0, startBy);
    }
    int group = nowMillis <= lastStart ? 1 : 2;
    return new Turn(job, queue.priority(), group, startBy);
  }

  /** Returns the estimated time of the longest chain of steps that are not done. */
  private static long remainingMillis(Job job) {
    return job.occurrences.stream()
        .mapToLong(occurrence -> remainingMillis(job.spec, occurrence))
        .max()
        .orElse(job.spec.chainMillis());
  }

  private static long remainingMillis(JobSpec spec, Job.Occurrence occurrence) {
    long[] ends = new long[spec.steps().size()];
    IntStream.range(0, ends.length)
        .forEach(
            step -> {
              StepSpec it = spec.steps().get(step);
              long start = it.after().stream().mapToLong(before -> ends[before]).max().orElse(0);
              ends[step] = start + (occurrence.done(step) ? 0 : it.estimateMillis());
            });
    return IntStream.range(0, ends.length).mapToLong(step -> ends[step]).max().orElse(0);
  }
}
