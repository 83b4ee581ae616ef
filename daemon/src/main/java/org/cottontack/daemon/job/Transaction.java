package org.cottontack.daemon.job;

import java.util.List;
import java.util.Map;
import org.cottontack.core.peer.Payload;

/**
 * A conditional transaction: either all of its writes and removals are applied, or none. They are
 * applied only if every expected version matches.
 *
 * @param expected versions that rows must have; 0 means that the row must not exist
 * @param writes new contents
 * @param removals rows to remove
 */
public record Transaction(
    Map<RowKey, Long> expected, Map<RowKey, Payload> writes, List<RowKey> removals) {

  /** Copies the collections so that the transaction is immutable. */
  public Transaction {
    expected = Map.copyOf(expected);
    writes = Map.copyOf(writes);
    removals = List.copyOf(removals);
  }

  /** Returns a transaction that writes one row if it has the given version. */
  public static Transaction write(RowKey row, long version, String text) {
    return new Transaction(Map.of(row, version), Map.of(row, Payload.of(text)), List.of());
  }
}
