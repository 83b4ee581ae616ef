package org.cottontack.ctl;

/** Signals an error that ends the command with a message of one line and an exit code. */
final class CtlException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient ExitCode code;

  CtlException(ExitCode code, String message) {
    super(message);
    this.code = code;
  }

  ExitCode code() {
    return code;
  }
}
