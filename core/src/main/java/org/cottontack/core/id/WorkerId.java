package org.cottontack.core.id;

/**
 * Identifies a worker, which runs tasks under leases.
 *
 * @param value the text, never blank
 */
public record WorkerId(String value) implements Comparable<WorkerId> {

  /** Rejects a blank identifier. */
  public WorkerId {
    Ids.requireText(value, "WorkerId");
  }

  @Override
  public int compareTo(WorkerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof WorkerId that && value.equals(that.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
