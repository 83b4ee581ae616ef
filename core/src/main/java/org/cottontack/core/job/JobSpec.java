package org.cottontack.core.job;

import java.math.BigInteger;
import java.util.List;

/**
 * A job as the caller submitted it; immutable.
 *
 * @param id the identifier
 * @param queue the queue as it was when the job was accepted
 * @param payload opaque text that each task receives
 * @param steps the steps
 * @param schedule when its occurrences are due
 */
public record JobSpec(
    JobId id, JobQueue queue, String payload, List<StepSpec> steps, Schedule schedule) {

  /**
   * When the occurrences of a job are due.
   *
   * @param firstMillis due time of the first occurrence, in milliseconds since 1970
   * @param intervalMillis time between two occurrences, in milliseconds
   * @param repeats number of scheduled occurrences; 0 means that the job runs once, immediately
   */
  public record Schedule(long firstMillis, long intervalMillis, int repeats) {

    /** Runs once, immediately. */
    public static final Schedule AT_ONCE = new Schedule(0, 0, 0);

    /** Returns whether the occurrences wait for a due time. */
    public boolean hasStartTime() {
      return repeats > 0;
    }

    /** Returns the number of occurrences. */
    public int occurrences() {
      return Math.max(1, repeats);
    }

    /** Returns how many occurrences are due at a time, in milliseconds since 1970. */
    public int due(long millis) {
      if (!hasStartTime()) {
        return 1;
      }
      if (millis < firstMillis) {
        return 0;
      }
      BigInteger sinceFirst = BigInteger.valueOf(millis).subtract(BigInteger.valueOf(firstMillis));
      return intervalMillis <= 0
          ? repeats
          : sinceFirst
              .divide(BigInteger.valueOf(intervalMillis))
              .add(BigInteger.ONE)
              .min(BigInteger.valueOf(repeats))
              .intValue();
    }

    /**
     * Returns when an occurrence is due, in milliseconds since 1970; 0 when it is due immediately.
     */
    public long dueMillis(int occurrence) {
      return hasStartTime() ? firstMillis + occurrence * intervalMillis : 0;
    }
  }

  /** Keeps the list immutable. */
  public JobSpec {
    steps = List.copyOf(steps);
  }

  /** Returns the number of tasks of each occurrence. */
  public long tasks() {
    return steps.stream().mapToLong(StepSpec::count).sum();
  }

  /** Returns the number of tasks of all occurrences. */
  public long allTasks() {
    return tasks() * schedule.occurrences();
  }

  /** Returns whether the job has a task, in an occurrence of any number. */
  boolean has(TaskName name) {
    int step = name.step().step();
    return step < steps.size() && name.index() < steps.get(step).count();
  }

  /** Returns whether some step runs until the job is cancelled. */
  public boolean isLongRunning() {
    return steps.stream().anyMatch(step -> step.is(StepSpec.Trait.LASTS));
  }
}
