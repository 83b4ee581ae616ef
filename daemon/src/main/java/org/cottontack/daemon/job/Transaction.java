package org.cottontack.daemon.job;

import java.util.List;
import java.util.Map;
import org.cottontack.core.peer.Payload;

/**
 * A transaction: all of its writes happen, or none, and only while the expected versions hold.
 *
 * @param expected versions that rows must have; 0 means that the row must not exist
 * @param writes new contents
 * @param removals rows to remove
 */
public record Transaction(
    Map<RowKey, Long> expected, Map<RowKey, Payload> writes, List<RowKey> removals) {

  /** Keeps the collections immutable. */
  public Transaction {
    expected = Map.copyOf(expected);
    writes = Map.copyOf(writes);
    removals = List.copyOf(removals);
  }

  /** Returns a change that writes one row if it has a version. */
  public static Transaction write(RowKey row, long version, String text) {
    return new Transaction(Map.of(row, version), Map.of(row, Payload.of(text)), List.of());
  }
}
