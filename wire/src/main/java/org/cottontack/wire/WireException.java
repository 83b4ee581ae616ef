package org.cottontack.wire;

/** Signals that a message or a stored job cannot be encoded or decoded. */
public final class WireException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that describes the error. */
  public WireException(String message) {
    super(message);
  }
}
