package org.cottontack.core.job;

/**
 * The name of a task of a job.
 *
 * @param step the step to which it belongs
 * @param index its number within the step, from 0
 */
public record TaskName(StepId step, int index) {

  private static final int PARTS = 4;

  /**
   * Reads {@code JOB.OCCURRENCE.STEP.INDEX}.
   *
   * @throws IllegalArgumentException when the text has another form
   */
  public static TaskName parse(String text) {
    String[] parts = text.split("\\.", -1);
    if (parts.length != PARTS) {
      throw new IllegalArgumentException("not a task name: " + text);
    }
    StepId step =
        new StepId(new JobId(parts[0]), Integer.parseInt(parts[1]), Integer.parseInt(parts[2]));
    return new TaskName(step, Integer.parseInt(parts[3]));
  }

  /** Returns the job to which the task belongs. */
  public JobId job() {
    return step.job();
  }

  @Override
  public String toString() {
    return step + "." + index;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof TaskName that && index == that.index && step.equals(that.step);
  }

  @Override
  public int hashCode() {
    return 31 * index + step.hashCode();
  }
}
