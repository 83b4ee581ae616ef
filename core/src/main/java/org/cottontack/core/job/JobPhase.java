package org.cottontack.core.job;

/** How far a job has come. */
public enum JobPhase {
  /** No task has started. */
  QUEUED('q', false),
  /** Some task has started. */
  RUNNING('r', false),
  /** All tasks have ended as done. */
  COMPLETE('c', true),
  /** A task has failed as often as its queue allows. */
  FAILED('f', true),
  /** The caller cancelled it. */
  CANCELLED('x', true);

  private final char code;
  private final boolean terminal;

  JobPhase(char code, boolean terminal) {
    this.code = code;
    this.terminal = terminal;
  }

  /** Returns the letter that stands for it in the store. */
  char code() {
    return code;
  }

  /** Returns whether nothing follows. */
  public boolean terminal() {
    return terminal;
  }

  /**
   * Returns the phase of a letter.
   *
   * @throws IllegalArgumentException when there is none
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
