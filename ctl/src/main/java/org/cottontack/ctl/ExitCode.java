package org.cottontack.ctl;

/** The exit codes of {@code cottontackctl}. */
enum ExitCode {
  /** Done. */
  DONE(0),
  /** A table has faults, or two tables differ where the question was whether they do. */
  NEGATIVE(1),
  /** Wrong usage. */
  USAGE(2),
  /** A file cannot be read. */
  NO_FILE(3),
  /** The instance cannot be reached or does not answer as expected. */
  UNREACHABLE(4),
  /** Somebody else's edit came first. */
  STALE(5),
  /** Not in force everywhere before the time limit. */
  NOT_EVERYWHERE(6);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  int number() {
    return number;
  }
}
