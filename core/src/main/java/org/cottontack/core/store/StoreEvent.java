package org.cottontack.core.store;

import java.util.List;
import org.cottontack.core.Event;

/** What the platform's table service answered, and what the core asks of its own store part. */
public interface StoreEvent extends Event {

  /**
   * Asks for a write; answered by {@link Settled}.
   *
   * @param mutations take effect together or not at all
   * @param purpose comes back with the outcome
   */
  record Submit(List<Mutation> mutations, Purpose purpose) implements StoreEvent {

    /** Returns a write of one row. */
    public static Submit of(StoreKey key, long version, StoredValue value, Purpose purpose) {
      return new Submit(List.of(Mutation.put(key, version, value)), purpose);
    }
  }

  /**
   * The transaction took effect.
   *
   * @param batch the transaction
   */
  record Committed(long batch) implements StoreEvent {}

  /**
   * The transaction did not take effect now because rows had other versions.
   *
   * @param batch the transaction
   * @param current those rows as they stand
   */
  record Conflicted(long batch, List<StoreRow> current) implements StoreEvent {}

  /**
   * No answer came: the transaction may or may not have taken effect, or may do so later.
   *
   * @param batch the transaction
   */
  record Unanswered(long batch) implements StoreEvent {}

  /**
   * Time to send the next transaction.
   *
   * @param batch the transaction to send again, or 0 for a new one
   */
  record Flush(long batch) implements StoreEvent {}

  /**
   * A write has a definite outcome.
   *
   * @param purpose of the write
   * @param applied whether it took effect
   * @param conflicts rows that stood in the way; empty when applied
   */
  record Settled(Purpose purpose, boolean applied, List<StoreRow> conflicts)
      implements StoreEvent {}

  /**
   * Rows were read.
   *
   * @param purpose of the read
   * @param rows all rows under the prefix, at one point in time
   */
  record Scanned(Purpose purpose, List<StoreRow> rows) implements StoreEvent {}

  /**
   * A read failed.
   *
   * @param purpose of the read
   */
  record ScanFailed(Purpose purpose) implements StoreEvent {}
}
