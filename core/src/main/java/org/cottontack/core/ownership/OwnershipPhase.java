package org.cottontack.core.ownership;

/** The lifecycle phase of an entry instance. */
public enum OwnershipPhase {
  /** Has no lease yet or is not yet a member of the assignment. */
  JOINING(true),
  /** Is a member of the assignment. */
  MEMBER(true),
  /** Is shutting down: accepts no new work and releases its share once its work is finished. */
  LEAVING(true),
  /** Has released its share. */
  LEFT(false);

  private final boolean renews;

  OwnershipPhase(boolean renews) {
    this.renews = renews;
  }

  /** Returns whether the lease is renewed in this phase. */
  boolean renews() {
    return renews;
  }
}
