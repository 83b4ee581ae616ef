package org.cottontack.standin.endpoint;

import java.util.Locale;
import java.util.stream.Stream;

/** How the stand-in of an endpoint misbehaves. */
public enum EndpointFault {
  /** It answers. */
  NONE,
  /** It runs requests and closes the connection instead of answering. */
  DROPS_ANSWERS,
  /** It answers at once with an error and runs nothing. */
  FAST_ERRORS;

  /** Returns the fault for a word. */
  public static EndpointFault forWord(String word) {
    return Stream.of(values())
        .filter(fault -> fault.name().toLowerCase(Locale.ROOT).equals(word))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no fault is named " + word));
  }
}
