package org.cottontack.core.id;

/**
 * Identifies an endpoint, which runs requests in a fixed number of slots.
 *
 * @param value the text, never blank
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

  /** Rejects a blank identifier. */
  public EndpointId {
    Ids.requireText(value, "EndpointId");
  }

  @Override
  public int compareTo(EndpointId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
