package org.cottontack.adapters;

import java.util.Locale;

/**
 * Signals an error in an adapter; exceptions of the libraries that adapters use are translated into
 * it.
 */
public final class AdapterException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** The kinds of errors. */
  public enum Code {
    /** A text does not have the required format. */
    MALFORMED,
    /** A server cannot listen on its address. */
    CANNOT_LISTEN,
    /** A file cannot be read. */
    CANNOT_READ;

    /** Returns the stable name that logs use. */
    public String word() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  private final Code code;

  /** Creates an exception with its code and a message of one line. */
  public AdapterException(Code code, String message, Throwable cause) {
    super(message, cause);
    this.code = code;
  }

  /** Returns the kind of error. */
  public Code code() {
    return code;
  }
}
