package org.cottontack.core.table;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/** The kind of work that a row of the table configures. */
public enum RowKind {
  /** A service, which answers requests within a target latency. */
  SERVICE,
  /** A class of batch tasks, which run to completion before a deadline. */
  BATCH;

  /** Returns the name of this kind in the table. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the kind with the given name in the table, or empty if there is none. */
  public static Optional<RowKind> forWord(String word) {
    return Stream.of(values()).filter(kind -> kind.word().equals(word)).findFirst();
  }
}
