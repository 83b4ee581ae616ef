package org.cottontack.core.request;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/** Whether the work of a request ran; the three are never merged. */
public enum Ran {
  /** It ran once and this is its whole answer. */
  RAN,
  /** It did not run and will not run because of this request. */
  NOT_RUN,
  /** It may have run. */
  UNKNOWN;

  /** Returns the word callers see. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the outcome for a word. */
  public static Optional<Ran> forWord(String word) {
    return Stream.of(values()).filter(ran -> ran.word().equals(word)).findFirst();
  }
}
