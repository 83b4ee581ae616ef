package org.cottontack.core.job;

/**
 * One start of a task.
 *
 * @param task the task
 * @param run numbers the starts of the task, from 1
 */
public record RunKey(TaskName task, int run) {

  @Override
  public String toString() {
    return task + "#" + run;
  }
}
