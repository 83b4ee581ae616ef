package org.cottontack.core.id;

/**
 * Identifies a request within the process that received it.
 *
 * @param value a number unique within that process; later requests have larger numbers
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
