package org.cottontack.core.id;

/**
 * Identifies a caller, by its authenticated name or the name it sent.
 *
 * @param value the text, never blank
 */
public record CallerId(String value) implements Comparable<CallerId> {

  /** Rejects a blank identifier. */
  public CallerId {
    Ids.requireText(value, "CallerId");
  }

  @Override
  public int compareTo(CallerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
