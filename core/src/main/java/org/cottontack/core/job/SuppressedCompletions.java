package org.cottontack.core.job;

import java.util.stream.Stream;

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
 * itself. This needs no later order, so it also works when stops are lost or the leader is.
 *
 * <p>How long a task takes is not known in advance; its caller states a rough estimate. A done run
 * that is not listed looks like one that lapsed, so the lease is as short as starts arrive in time:
 * each start that comes too late for its lease doubles the next one, up to a part of the estimate,
 * and each that arrives halves it. This bounds a run by the delay of starts, not by its duration:
 * one that is done within its lease, which may be twice the delay of the starts before it, runs
 * again.
 *
 * <p>The end of any short-lease run can be that first completion, so tasks of any duration may have
 * one. Tasks for which the longest such lease may be too short to begin at all wait for longer
 * ones, but not for long, because there may be none.
 */
final class SuppressedCompletions {

  /** Stands for an unknown number of completions. */
  static final long ANY = Long.MAX_VALUE;

  /** Longest lease of a short-lease run, in milliseconds. */
  static final long SHORT_LEASE_MILLIS = 200;

  /** Lease with which short-lease runs begin, in milliseconds: a few one-way delays of a start. */
  private static final long FIRST_LEASE_MILLIS = 5;

  /** Ratio of a lease to the one before it that was too short. */
  private static final int LEASE_GROWTH = 2;

  /** Lease up to which that of any task may grow, in milliseconds: starts on a busy instance. */
  private static final long MIN_LEASE_MILLIS = 25;

  /** Minimum ratio of the expected duration of a task to the lease of a short-lease run. */
  private static final int DURATION_PER_LEASE = 2;

  /** How a short-lease run of a task ends before it is expected to be done. */
  private enum ShortRun {
    /** By its lease, or by a stop that its leader sends at once. */
    BY_LEASE_OR_STOP(DURATION_PER_LEASE * SHORT_LEASE_MILLIS) {
      @Override
      boolean mayBegin(boolean onlyLease) {
        return true;
      }
    },
    /** By its lease only: a stop may come too late. */
    BY_LEASE(DURATION_PER_LEASE * MIN_LEASE_MILLIS) {
      @Override
      boolean mayBegin(boolean onlyLease) {
        return onlyLease;
      }
    },
    /** By neither for certain. */
    IN_DOUBT(0) {
      @Override
      boolean mayBegin(boolean onlyLease) {
        return false;
      }
    };

    private final long minDurationMillis;

    ShortRun(long minDurationMillis) {
      this.minDurationMillis = minDurationMillis;
    }

    /**
     * Returns whether such a run is certain to end before it can be done.
     *
     * @param onlyLease whether the lease of its start is the only one on its worker
     */
    abstract boolean mayBegin(boolean onlyLease);

    static ShortRun of(StepSpec spec) {
      return Stream.of(values())
          .filter(run -> spec.estimateMillis() >= run.minDurationMillis)
          .findFirst()
          .orElse(IN_DOUBT);
    }
  }

  private long suppressed;
  private long leasedUntilMillis;
  private long awaitsLongTasksUntilMillis;
  private long leaseMillis = FIRST_LEASE_MILLIS;

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

  /**
   * Records until when, on our clock, only runs begin that are certain to end before they can be
   * done. If none of them has shown a completion by then, no such task may be there.
   */
  void awaitLongTasksUntil(long millis) {
    awaitsLongTasksUntilMillis = Math.max(awaitsLongTasksUntilMillis, millis);
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
   * @param besideService whether a service is there, whose leases the run would share
   */
  boolean admits(
      StepSpec spec,
      boolean hasShortLeaseRun,
      boolean shortLeaseAllowed,
      boolean besideService,
      long nowMillis) {
    if (none()) {
      return true;
    }
    if (!mustNotRepeat(spec)) {
      return !hasShortLeaseRun;
    }
    boolean leased = !shortLeaseAllowed || nowMillis < leasedUntilMillis;
    return !leased
        && (nowMillis >= awaitsLongTasksUntilMillis || ShortRun.of(spec).mayBegin(!besideService));
  }

  /** Returns the lease of the next short-lease run of a task, in milliseconds. */
  long shortLeaseMillis(StepSpec spec) {
    return Math.min(leaseMillis, longestLeaseMillis(spec));
  }

  /** Returns the longest lease of a short-lease run of a task, in milliseconds. */
  private static long longestLeaseMillis(StepSpec spec) {
    long part = spec.estimateMillis() / DURATION_PER_LEASE;
    return Math.max(MIN_LEASE_MILLIS, Math.min(SHORT_LEASE_MILLIS, part));
  }

  /** Records that the start of a short-lease run arrived within its lease. */
  void startArrived() {
    leaseMillis = Math.max(FIRST_LEASE_MILLIS, leaseMillis / LEASE_GROWTH);
  }

  /**
   * Records that the start of a short-lease run of a task arrived after its lease.
   *
   * @return whether the next one gets a longer lease
   */
  boolean lengthenLease(StepSpec spec) {
    long last = shortLeaseMillis(spec);
    leaseMillis = Math.min(SHORT_LEASE_MILLIS, LEASE_GROWTH * last);
    return shortLeaseMillis(spec) > last;
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
        || (mustNotRepeat(step) && ShortRun.of(step).compareTo(ShortRun.of(other)) >= 0);
  }

  /** Returns whether a task must not run again after it was done. */
  static boolean mustNotRepeat(StepSpec spec) {
    return !spec.is(StepSpec.Trait.LASTS) && !spec.is(StepSpec.Trait.SPECULATIVE);
  }
}
