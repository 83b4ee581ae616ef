package org.cottontack.core.job;

/**
 * A step of one occurrence of a job.
 *
 * @param job the job
 * @param occurrence number of the repetition, from 0
 * @param step the step's number, from 0
 */
public record StepId(JobId job, int occurrence, int step) {

  @Override
  public String toString() {
    return job + "." + occurrence + "." + step;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof StepId that
        && step == that.step
        && occurrence == that.occurrence
        && job.equals(that.job);
  }

  @Override
  public int hashCode() {
    return 31 * (31 * step + occurrence) + job.hashCode();
  }
}
