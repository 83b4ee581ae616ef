package org.cottontack.daemon.job;

import java.util.List;
import java.util.Optional;

/**
 * The result of a transaction.
 *
 * @param outcome how the transaction ended
 * @param version the version of the written rows, if it was done
 * @param current the current state of the expected rows, after a conflict
 * @param storeMillis the store's monotonic clock at the time of its response, in milliseconds; 0
 *     when unknown
 */
public record CommitResult(Outcome outcome, long version, List<Row> current, long storeMillis) {

  /** The possible outcomes of a transaction. */
  public enum Outcome {
    /** The transaction is stored. */
    DONE,
    /** An expected version did not match; nothing was written. */
    CONFLICT,
    /** The transaction was refused; nothing was written. */
    REFUSED,
    /**
     * The transaction was refused for its content, such as a row that is too large; nothing was
     * written, and a repetition would be refused as well.
     */
    INVALID,
    /**
     * There was no response: the transaction may have been carried out, or may still be carried out
     * seconds later.
     */
    UNKNOWN
  }

  /** Copies the list so that the result is immutable. */
  public CommitResult {
    current = List.copyOf(current);
  }

  /**
   * Returns whether the store processed the transaction. A refusal does not count, because it may
   * come from a component in front of the store.
   */
  public boolean served() {
    return outcome == Outcome.DONE || outcome == Outcome.CONFLICT || outcome == Outcome.INVALID;
  }

  /** Returns a result without rows. */
  public static CommitResult of(Outcome outcome) {
    return new CommitResult(outcome, 0, List.of(), 0);
  }

  /** Returns a row as it was at the time of the conflict, if it existed. */
  public Optional<Row> current(RowKey at) {
    return current.stream()
        .filter(row -> row.at().equals(at) && !row.removed() && row.version() > 0)
        .findFirst();
  }
}
