package org.cottontack.core.request;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/** Whether a request ran. No outcome is ever reported as another one. */
public enum Ran {
  /** It ran once, and the answer is complete. */
  RAN,
  /** It did not run and will not run later unless it is sent again. */
  NOT_RUN,
  /** It may have run. */
  UNKNOWN;

  /** Returns the name of this outcome for callers. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the outcome with a name that callers use. */
  public static Optional<Ran> forWord(String word) {
    return Stream.of(values()).filter(ran -> ran.word().equals(word)).findFirst();
  }
}
