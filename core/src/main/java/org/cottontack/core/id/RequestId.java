package org.cottontack.core.id;

/**
 * A request as seen by the process that received it.
 *
 * @param value a number unique within that process
 */
public record RequestId(long value) {

  @Override
  public String toString() {
    return "r" + value;
  }
}
