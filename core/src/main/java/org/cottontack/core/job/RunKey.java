package org.cottontack.core.job;

/**
 * Identifies a run: one numbered start of a task.
 *
 * @param task the task
 * @param run number of the start, from 1
 */
public record RunKey(TaskName task, int run) {

  @Override
  public String toString() {
    return task + "#" + run;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof RunKey that && run == that.run && task.equals(that.task);
  }

  @Override
  public int hashCode() {
    return 31 * run + task.hashCode();
  }
}
