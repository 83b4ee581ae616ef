package org.cottontack.core.job;

/**
 * A job's identifier. The caller chooses it so that a repeated submission is recognised.
 *
 * @param value the text, never blank
 */
public record JobId(String value) implements Comparable<JobId> {

  /** Rejects a blank identifier. */
  public JobId {
    if (value.isBlank()) {
      throw new IllegalArgumentException("a JobId must not be blank");
    }
  }

  @Override
  public int compareTo(JobId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof JobId that && value.equals(that.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
