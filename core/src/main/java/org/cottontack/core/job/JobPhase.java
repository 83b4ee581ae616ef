package org.cottontack.core.job;

/** The phase of a job. */
public enum JobPhase {
  /** No task has started. */
  QUEUED('q', false),
  /** Some task has started. */
  RUNNING('r', false),
  /** All tasks are done. */
  COMPLETE('c', true),
  /** A task has failed as often as its queue allows. */
  FAILED('f', true),
  /** The caller cancelled the job. */
  CANCELLED('x', true);

  private final char code;
  private final boolean terminal;

  JobPhase(char code, boolean terminal) {
    this.code = code;
    this.terminal = terminal;
  }

  /** Returns the letter that represents the phase in the store. */
  char code() {
    return code;
  }

  /** Returns whether no other phase can follow. */
  public boolean terminal() {
    return terminal;
  }

  /**
   * Returns the phase that a letter represents.
   *
   * @throws IllegalArgumentException when no phase has the letter
   */
  static JobPhase of(char code) {
    for (JobPhase phase : values()) {
      if (phase.code == code) {
        return phase;
      }
    }
    throw new IllegalArgumentException("no job phase has the letter " + code);
  }
}
