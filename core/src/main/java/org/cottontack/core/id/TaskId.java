package org.cottontack.core.id;

/**
 * Identifies a batch task; chosen by the caller or generated on submission.
 *
 * @param value the text, never blank
 */
public record TaskId(String value) implements Comparable<TaskId> {

  /** Rejects a blank identifier. */
  public TaskId {
    Ids.requireText(value, "TaskId");
  }

  @Override
  public int compareTo(TaskId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
