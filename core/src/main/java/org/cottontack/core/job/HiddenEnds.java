package org.cottontack.core.job;

/**
 * Which ends one life of a worker may never list. A worker forgets ends up to the number that an
 * acknowledgement names. One without an answer may reach the next life of its worker, which numbers
 * its ends anew, before that life has ended anything: a run that is done there would vanish, and
 * could not be told from one that never began.
 *
 * <p>The load: busy workers crash while nearly each of them is being asked, and come back at once.
 * An end that is listed shows that those after it will be. Until then only runs whose end does not
 * matter begin there: lasting ones, those that may have copies, and one run at a time that is
 * stopped at once.
 */
final class HiddenEnds {

  /** Stands for an unknown number of ends. */
  static final long ANY = Long.MAX_VALUE;

  /**
   * Longest time from a start to the answer of its stop for which the run is known not to be done,
   * in milliseconds.
   */
  private static final long TOO_SHORT_MILLIS = 200;

  /** Least expected duration of a run that is to be stopped, in milliseconds. */
  private static final long LEAST_EXPECTED_MILLIS = 2 * TOO_SHORT_MILLIS;

  private long hidden;

  /** Takes in that ends up to a number may not be listed. */
  void upTo(long number) {
    hidden = Math.max(hidden, number);
  }

  /** Returns whether every run that ends from now on will be listed. */
  boolean none() {
    return hidden == 0;
  }

  /** Takes in that an end was listed: later ones have higher numbers. */
  void listed() {
    hidden = 0;
  }

  /**
   * Returns whether a task may begin there.
   *
   * @param spec what the task is
   * @param others whether another run whose end matters is there
   */
  boolean admits(StepSpec spec, boolean others) {
    return none() || !matters(spec) || (!others && spec.estimateMillis() >= LEAST_EXPECTED_MILLIS);
  }

  /** Returns whether a run is to be stopped as soon as it is there. */
  boolean stops(StepSpec spec) {
    return !none() && matters(spec);
  }

  /** Returns whether a run cannot be done so long after its start was first sent. */
  static boolean undoneAfter(long sinceMillis) {
    return sinceMillis <= TOO_SHORT_MILLIS;
  }

  /**
   * Takes in that a task's present run is gone without a listed end. Where it is known to have
   * begun, that end had a number.
   *
   * @return whether it may have been done
   */
  boolean vanished(Task task) {
    if (!stops(task.spec)) {
      return false;
    }
    boolean undone = task.stoppedInTime();
    hidden -= undone && task.began && hidden != ANY ? 1 : 0;
    return !undone;
  }

  /** Returns whether a run that was done may not begin again. */
  static boolean matters(StepSpec spec) {
    return !spec.is(StepSpec.Trait.LASTS) && !spec.is(StepSpec.Trait.SPECULATIVE);
  }
}
