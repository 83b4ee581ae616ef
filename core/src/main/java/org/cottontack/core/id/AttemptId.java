package org.cottontack.core.id;

/**
 * Identifies one dispatch of a request to an endpoint or to another entry instance; unique among
 * all processes.
 *
 * @param value the text, never blank
 */
public record AttemptId(String value) implements Comparable<AttemptId> {

  /** Rejects a blank identifier. */
  public AttemptId {
    Ids.requireText(value, "AttemptId");
  }

  @Override
  public int compareTo(AttemptId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
