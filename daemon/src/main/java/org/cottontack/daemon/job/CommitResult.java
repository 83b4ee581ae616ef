package org.cottontack.daemon.job;

import java.util.List;
import java.util.Optional;

/**
 * What became of a transaction.
 *
 * @param outcome how it ended
 * @param version the version of the rows written, when done
 * @param current the expected rows as they are, after a conflict
 * @param storeMillis the store's steady clock when it answered, in milliseconds; 0 when unknown
 */
public record CommitResult(Outcome outcome, long version, List<Row> current, long storeMillis) {

  /** How a transaction ends. */
  public enum Outcome {
    /** It is in the store. */
    DONE,
    /** An expected version did not hold; nothing was done. */
    CONFLICT,
    /** The store did nothing, and says so. */
    REFUSED,
    /** No answer came: it may have happened, or may happen seconds later. */
    UNKNOWN
  }

  /** Keeps the list immutable. */
  public CommitResult {
    current = List.copyOf(current);
  }

  /** Returns whether the store took the transaction up; a refusal may come from nearer by. */
  public boolean served() {
    return outcome == Outcome.DONE || outcome == Outcome.CONFLICT;
  }

  /** Returns an answer without rows. */
  public static CommitResult of(Outcome outcome) {
    return new CommitResult(outcome, 0, List.of(), 0);
  }

  /** Returns a row as it stood at the time of the conflict. */
  public Optional<Row> current(RowKey at) {
    return current.stream()
        .filter(row -> row.at().equals(at) && !row.removed() && row.version() > 0)
        .findFirst();
  }
}
