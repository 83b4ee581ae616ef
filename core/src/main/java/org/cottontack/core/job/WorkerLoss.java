package org.cottontack.core.job;

/** How a leader knows that it has lost a worker, and what that says about the runs there. */
enum WorkerLoss {
  /** Another incarnation has its address or its identifier, so it has ended. */
  REPLACED(true, true),
  /** It was gone before this leader's term; nothing is known of it but what was placed there. */
  GONE_BEFORE_TERM(true, true),
  /** Its leases have ended and it is no longer listed: it may have crashed or be cut off. */
  UNLISTED(true, false),
  /** Its leases have ended and it is still listed: it may be alive and out of reach. */
  UNREACHABLE(true, false),
  /** It had announced that it was about to leave. */
  LEFT(false, false);

  private final boolean maybeCrashed;
  private final boolean crashed;

  WorkerLoss(boolean maybeCrashed, boolean crashed) {
    this.maybeCrashed = maybeCrashed;
    this.crashed = crashed;
  }

  /** Returns the loss of a worker whose next incarnation is known. */
  static WorkerLoss replaced(Worker worker) {
    return left(worker) ? LEFT : REPLACED;
  }

  /** Returns the loss of a worker that does not answer and whose leases have ended. */
  static WorkerLoss expired(Worker worker) {
    if (worker.registered) {
      return UNREACHABLE;
    }
    if (left(worker)) {
      return LEFT;
    }
    return worker.info.reachable() ? UNLISTED : GONE_BEFORE_TERM;
  }

  /**
   * Returns whether a worker announced that it was leaving, which ends its runs without a crash. A
   * worker that was gone before this leader's term announced nothing to this leader. If it were
   * treated as having left, crashes that coincide with leader changes would never be counted and
   * could go on indefinitely.
   */
  static boolean left(Worker worker) {
    return worker.info.reachable() && worker.info.draining();
  }

  /** Returns whether the worker may have crashed. */
  boolean maybeCrashed() {
    return maybeCrashed;
  }

  /**
   * Returns whether the worker counts as crashed. Of one that was gone before the term, no more
   * will ever be known.
   */
  boolean crashed() {
    return crashed;
  }

  /** Returns whether a next incarnation at its address would show that it has crashed. */
  boolean mayBeExplainedLater() {
    return this == UNLISTED || this == UNREACHABLE;
  }
}
