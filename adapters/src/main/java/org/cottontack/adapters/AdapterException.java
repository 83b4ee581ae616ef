package org.cottontack.adapters;

import java.util.Locale;

/** A fault at the edge of the product; faults of libraries below are translated into it. */
public final class AdapterException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** What went wrong. */
  public enum Code {
    /** Text is not in the form it should be. */
    MALFORMED,
    /** An address cannot be listened on. */
    CANNOT_LISTEN,
    /** A file cannot be read. */
    CANNOT_READ;

    /** Returns the stable word for logs. */
    public String word() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  private final Code code;

  /** Creates an exception with its code and one clear line. */
  public AdapterException(Code code, String message, Throwable cause) {
    super(message, cause);
    this.code = code;
  }

  /** Returns what went wrong. */
  public Code code() {
    return code;
  }
}
