package org.cottontack.core.job;

/**
 * Completions that one incarnation of a worker may never list. A worker drops completions up to the
 * number that an acknowledgement names. An acknowledgement without an answer may reach the next
 * incarnation, which numbers its completions from the start again, before any run has ended there.
 * A run that is done there would then be dropped unreported, and the leader could not distinguish
 * it from one that never began.
 *
 * <p>This happens when busy workers crash while completions are acknowledged to them, and start
 * again at once. The first completion that is listed shows that all later ones will be listed.
 * Until then, the incarnation gets only runs whose completion does not matter, which are those of
 * long-running tasks and of tasks that permit speculative copies, and one short-lease run at a
 * time. The lease that the start of a short-lease run brings is its only one, so the run ends by
 * itself before it can be done. This needs no later order, so it also works when stops are lost or
 * the leader is.
 */
final class SuppressedCompletions {

  /** Stands for an unknown number of completions. */
  static final long ANY = Long.MAX_VALUE;

  /**
   * Lease of a short-lease run, in milliseconds. A run is assumed not to be done within this time
   * after its start.
   */
  static final long SHORT_LEASE_MILLIS = 200;

  /** Minimum expected duration of a task that may get a short-lease run, in milliseconds. */
  private static final long MIN_ESTIMATE_MILLIS = 2 * SHORT_LEASE_MILLIS;

  private long suppressed;
  private long leasedUntilMillis;

  /**
   * Returns the suppressed completions of an incarnation that is known from the previous leader.
   *
   * @param leaseEndMillis when, on our clock, all leases that others may have given have ended
   */
  static SuppressedCompletions any(long leaseEndMillis) {
    SuppressedCompletions completions = new SuppressedCompletions();
    completions.suppressUpTo(ANY);
    completions.leasedUntil(leaseEndMillis);
    return completions;
  }

  /** Records that completions up to a number may not be listed. */
  void suppressUpTo(long number) {
    suppressed = Math.max(suppressed, number);
  }

  /** Records that a lease may be in force there up to a time on our clock. */
  void leasedUntil(long millis) {
    leasedUntilMillis = Math.max(leasedUntilMillis, millis);
  }

  /** Returns whether every run that ends from now on will be listed. */
  boolean none() {
    return suppressed == 0;
  }

  /**
   * Records that a completion was listed. Later ones have higher numbers, so none is suppressed.
   */
  void listed() {
    suppressed = 0;
  }

  /**
   * Returns whether a task may begin there.
   *
   * @param spec the step of the task
   * @param hasShortLeaseRun whether a short-lease run is there already
   * @param shortLeaseAllowed whether a short-lease run may begin: either nothing else is there and
   *     no lease that this leader gave is in force, or a service is there, whose end cannot be
   *     waited for
   */
  boolean admits(
      StepSpec spec, boolean hasShortLeaseRun, boolean shortLeaseAllowed, long nowMillis) {
    if (none()) {
      return true;
    }
    if (!mustNotRepeat(spec)) {
      return !hasShortLeaseRun;
    }
    boolean leased = !shortLeaseAllowed || nowMillis < leasedUntilMillis;
    return !leased && spec.estimateMillis() >= MIN_ESTIMATE_MILLIS;
  }

  /**
   * Returns whether the completion of a run there may be suppressed and would be needed. Such a run
   * gets a short lease, so that it ends before it can be done.
   */
  boolean appliesTo(StepSpec spec) {
    return !none() && mustNotRepeat(spec);
  }

  /**
   * Records that a task's present run is gone and no completion of it was listed. If the run is
   * known to have begun, that completion had a number, which is used up.
   *
   * @return whether the run may have been done
   */
  boolean recordMissingRun(Task task) {
    if (!appliesTo(task.spec)) {
      return false;
    }
    suppressed -= task.shortLease && task.began && suppressed != ANY ? 1 : 0;
    return !task.shortLease;
  }

  /**
   * Returns whether suppressed completions keep tasks of one step off every worker off which they
   * keep those of another.
   */
  static boolean restrictAtLeastAsMuch(StepSpec step, StepSpec other) {
    return !mustNotRepeat(other)
        || (mustNotRepeat(step)
            && (step.estimateMillis() < MIN_ESTIMATE_MILLIS
                || other.estimateMillis() >= MIN_ESTIMATE_MILLIS));
  }

  /** Returns whether a task must not run again after it was done. */
  static boolean mustNotRepeat(StepSpec spec) {
    return !spec.is(StepSpec.Trait.LASTS) && !spec.is(StepSpec.Trait.SPECULATIVE);
  }
}
