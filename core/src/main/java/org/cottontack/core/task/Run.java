package org.cottontack.core.task;

import org.cottontack.core.id.TaskId;

/**
 * One attempt of a task.
 *
 * @param task the task
 * @param attempt number of the attempt, from 1
 */
public record Run(TaskId task, int attempt) {

  @Override
  public String toString() {
    return task + "/" + attempt;
  }
}
