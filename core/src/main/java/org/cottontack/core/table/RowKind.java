package org.cottontack.core.table;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/** What a row of the table stands for. */
public enum RowKind {
  /** Answers requests of callers within a target. */
  SERVICE,
  /** Runs tasks to an end before a deadline. */
  BATCH;

  /** Returns the word the table uses. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the kind for a word of the table. */
  public static Optional<RowKind> forWord(String word) {
    return Stream.of(values()).filter(kind -> kind.word().equals(word)).findFirst();
  }
}
