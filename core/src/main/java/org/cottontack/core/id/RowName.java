package org.cottontack.core.id;

/**
 * Identifies a row of the operators' table: a service or a class of batch tasks.
 *
 * @param value the text, never blank
 */
public record RowName(String value) implements Comparable<RowName> {

  /** Rejects a blank identifier. */
  public RowName {
    Ids.requireText(value, "RowName");
  }

  @Override
  public int compareTo(RowName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
