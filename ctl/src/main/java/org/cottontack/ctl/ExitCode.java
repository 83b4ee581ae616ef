package org.cottontack.ctl;

/** The exit codes of {@code cottontackctl}. */
enum ExitCode {
  /** The command succeeded. */
  DONE(0),
  /** A table is invalid or does not exist, or the log files contain nothing to explain. */
  NEGATIVE(1),
  /** The command line or an address is invalid. */
  USAGE(2),
  /** A file cannot be read. */
  NO_FILE(3),
  /** The instance cannot be reached or returns an unexpected response. */
  UNREACHABLE(4),
  /** Another edit was accepted first. */
  STALE(5),
  /** The table was not in force at all instances before the time limit. */
  NOT_EVERYWHERE(6);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  int number() {
    return number;
  }
}
