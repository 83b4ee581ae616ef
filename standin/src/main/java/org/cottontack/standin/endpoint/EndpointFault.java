package org.cottontack.standin.endpoint;

import java.util.Locale;
import java.util.stream.Stream;

/** Faults that the endpoint stand-in can simulate. */
public enum EndpointFault {
  /** No fault: requests run and are answered. */
  NONE,
  /** Requests run, but the connection is closed without an answer. */
  DROPS_ANSWERS,
  /** Every request is answered at once with an error and does not run. */
  FAST_ERRORS;

  /** Returns the fault with the given name in lower case. */
  public static EndpointFault forWord(String word) {
    return Stream.of(values())
        .filter(fault -> fault.name().toLowerCase(Locale.ROOT).equals(word))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no fault is named " + word));
  }
}
