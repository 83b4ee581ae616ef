package org.cottontack.core.id;

/**
 * A request as seen by the process that received it.
 *
 * @param value a number unique within that process; a later request has a larger one
 */
public record RequestId(long value) implements Comparable<RequestId> {

  @Override
  public int compareTo(RequestId other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return "r" + value;
  }
}
