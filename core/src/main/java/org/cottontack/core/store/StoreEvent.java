package org.cottontack.core.store;

import java.util.List;
import org.cottontack.core.Event;

/** Responses of the platform's table service, and requests of the core to its own store part. */
public interface StoreEvent extends Event {

  /**
   * Requests a write; its outcome is reported by {@link Settled}.
   *
   * @param mutations the mutations, applied together or not at all
   * @param purpose returned with the outcome
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
   * @param batch number of the transaction
   */
  record Committed(long batch) implements StoreEvent {}

  /**
   * This attempt of the transaction did not take effect because some rows did not have the expected
   * versions.
   *
   * @param batch number of the transaction
   * @param current the current content of those rows
   */
  record Conflicted(long batch, List<StoreRow> current) implements StoreEvent {}

  /**
   * The transaction got no response. It may or may not have taken effect, or may still do so.
   *
   * @param batch number of the transaction
   */
  record Unanswered(long batch) implements StoreEvent {}

  /**
   * Timer: sends the next transaction or repeats the current one.
   *
   * @param batch number of the transaction to send again, or 0 for a new one
   */
  record Flush(long batch) implements StoreEvent {}

  /**
   * A write has a definite outcome.
   *
   * @param purpose the purpose of the write
   * @param applied whether the write took effect
   * @param conflicts the rows whose versions did not match; empty when applied
   */
  record Settled(Purpose purpose, boolean applied, List<StoreRow> conflicts)
      implements StoreEvent {}

  /**
   * Rows were read.
   *
   * @param purpose the purpose of the read
   * @param rows all rows under the prefix, as one consistent snapshot
   */
  record Scanned(Purpose purpose, List<StoreRow> rows) implements StoreEvent {}

  /**
   * A read failed.
   *
   * @param purpose the purpose of the read
   */
  record ScanFailed(Purpose purpose) implements StoreEvent {}
}
