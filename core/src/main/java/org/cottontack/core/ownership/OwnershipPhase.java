package org.cottontack.core.ownership;

/** Where an entry instance stands in its own life. */
public enum OwnershipPhase {
  /** Has no lease or is not yet in the assignment. */
  JOINING(true),
  /** Is in the assignment. */
  MEMBER(true),
  /** Stops: takes nothing new and gives its share back when its work is done. */
  LEAVING(true),
  /** Has given its share back. */
  LEFT(false);

  private final boolean renews;

  OwnershipPhase(boolean renews) {
    this.renews = renews;
  }

  /** Returns whether the lease is kept up in this phase. */
  boolean renews() {
    return renews;
  }
}
