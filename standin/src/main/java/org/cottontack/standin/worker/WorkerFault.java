package org.cottontack.standin.worker;

import java.util.Locale;
import java.util.stream.Stream;

/** How the stand-in of a worker misbehaves. */
public enum WorkerFault {
  /** It obeys and answers. */
  NONE,
  /** Its network is cut: it hears nothing, but its tasks go on until their leases lapse. */
  CUT,
  /** It obeys but its answers are lost. */
  LOSES_ANSWERS,
  /** Everything it starts fails. */
  FAILS_ALL;

  /** Returns the fault for a word. */
  public static WorkerFault forWord(String word) {
    return Stream.of(values())
        .filter(fault -> fault.name().toLowerCase(Locale.ROOT).equals(word))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no fault is named " + word));
  }
}
