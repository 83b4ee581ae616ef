package org.cottontack.core.id;

/**
 * A row of the operators' table: a service or a batch class.
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
