package org.cottontack.core.job;

/**
 * Which ends one life of a worker may never list. A worker forgets ends up to the number that an
 * acknowledgement names. One without an answer may reach the next life of its worker, which numbers
 * its ends anew, before that life has ended anything: a run that is done there would vanish, and
 * could not be told from one that never began.
 *
 * <p>The load: busy workers crash while they are told which ends are stored, and come back at once.
 * An end that is listed shows that those after it will be. Until then only runs whose end does not
 * matter begin there, lasting ones and those that may have copies, and one run at a time that ends
 * by itself before it can be done: the lease that its start brings is the only one. No later order
 * is needed for that, so it holds where stops are lost or the leader is.
 */
final class SuppressedCompletions {

  /** Stands for an unknown number of ends. */
  static final long ANY = Long.MAX_VALUE;

  /** Longest time from its start for which a run is not done, in milliseconds. */
  static final long SHORT_LEASE_MILLIS = 200;

  /** Least expected duration of a run that is to end before it is done, in milliseconds. */
  private static final long MIN_ESTIMATE_MILLIS = 2 * SHORT_LEASE_MILLIS;

  private long suppressed;
  private long leasedUntilMillis;

  /**
   * Returns what is known of a life from a leader before.
   *
   * @param leaseEndMillis when, on our clock, all leases that others may have given have ended
   */
  static SuppressedCompletions any(long leaseEndMillis) {
    SuppressedCompletions completions = new SuppressedCompletions();
    completions.suppressUpTo(ANY);
    completions.leasedUntil(leaseEndMillis);
    return completions;
  }

  /** Takes in that ends up to a number may not be listed. */
  void suppressUpTo(long number) {
    suppressed = Math.max(suppressed, number);
  }

  /** Takes in that a lease may be in force there up to a time on our clock. */
  void leasedUntil(long millis) {
    leasedUntilMillis = Math.max(leasedUntilMillis, millis);
  }

  /** Returns whether every run that ends from now on will be listed. */
  boolean none() {
    return suppressed == 0;
  }

  /** Takes in that an end was listed: later ones have higher numbers. */
  void listed() {
    suppressed = 0;
  }

  /**
   * Returns whether a task may begin there.
   *
   * @param spec what the task is
   * @param probed whether a run is there that is to end by itself
   * @param open whether a run may begin that is to be ended: nothing else is there and no lease
   *     that this leader gave, or a service that cannot be waited for
   */
  boolean admits(StepSpec spec, boolean probed, boolean open, long nowMillis) {
    if (none()) {
      return true;
    }
    if (!mustNotRepeat(spec)) {
      return !probed;
    }
    boolean leased = !open || nowMillis < leasedUntilMillis;
    return !leased && spec.estimateMillis() >= MIN_ESTIMATE_MILLIS;
  }

  /** Returns whether a run there is to end before it can be done. */
  boolean appliesTo(StepSpec spec) {
    return !none() && mustNotRepeat(spec);
  }

  /**
   * Takes in that a task's present run is gone without a listed end. Where it is known to have
   * begun, that end had a number.
   *
   * @return whether it may have been done
   */
  boolean recordMissingRun(Task task) {
    if (!appliesTo(task.spec)) {
      return false;
    }
    suppressed -= task.shortLease && task.began && suppressed != ANY ? 1 : 0;
    return !task.shortLease;
  }

  /** Returns whether a run that was done may not begin again. */
  static boolean mustNotRepeat(StepSpec spec) {
    return !spec.is(StepSpec.Trait.LASTS) && !spec.is(StepSpec.Trait.SPECULATIVE);
  }
}
