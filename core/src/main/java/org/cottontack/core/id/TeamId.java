package org.cottontack.core.id;

/**
 * Identifies a team, which has a quota.
 *
 * @param value the text, never blank
 */
public record TeamId(String value) implements Comparable<TeamId> {

  /** Rejects a blank identifier. */
  public TeamId {
    Ids.requireText(value, "TeamId");
  }

  @Override
  public int compareTo(TeamId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
