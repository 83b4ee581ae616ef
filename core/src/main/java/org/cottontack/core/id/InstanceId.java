package org.cottontack.core.id;

/**
 * Identifies one incarnation of an entry instance; each restart of the process gets a new one.
 *
 * @param value the text, never blank
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

  /** Rejects a blank identifier. */
  public InstanceId {
    Ids.requireText(value, "InstanceId");
  }

  @Override
  public int compareTo(InstanceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
