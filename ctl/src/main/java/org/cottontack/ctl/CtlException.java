package org.cottontack.ctl;

/** A fault that ends the command with one clear line and an exit code. */
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
