package org.cottontack.wire;

/** A message from another entry instance that cannot be understood. */
public final class WireException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception that says what was not understood. */
  public WireException(String message) {
    super(message);
  }
}
