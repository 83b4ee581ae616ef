package org.cottontack.core.id;

/**
 * Identifies a data centre.
 *
 * @param value the text, never blank
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

  /** Rejects a blank identifier. */
  public DataCentreId {
    Ids.requireText(value, "DataCentreId");
  }

  @Override
  public int compareTo(DataCentreId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof DataCentreId that && value.equals(that.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
