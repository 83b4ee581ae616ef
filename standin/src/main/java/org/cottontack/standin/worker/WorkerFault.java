package org.cottontack.standin.worker;

import java.util.Locale;
import java.util.stream.Stream;

/** Faults that the worker stand-in can simulate. */
public enum WorkerFault {
  /** No fault: orders are carried out and answered. */
  NONE,
  /** The network is cut: no message arrives, but tasks continue until their leases expire. */
  CUT,
  /** Orders are carried out, but the answers are lost. */
  LOSES_ANSWERS,
  /** Every task that the worker runs fails. */
  FAILS_ALL;

  /** Returns the fault with the given name in lower case. */
  public static WorkerFault forWord(String word) {
    return Stream.of(values())
        .filter(fault -> fault.name().toLowerCase(Locale.ROOT).equals(word))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no fault is named " + word));
  }
}
