package org.cottontack.core.store;

import java.util.List;
import org.cottontack.core.Effect;

/** Requests of the core to the platform's table service. */
public interface StoreEffect extends Effect {

  /**
   * Commits all writes in one transaction, or none of them.
   *
   * @param batch number of the transaction, returned with the response
   * @param writes the writes; no two of them change the same row
   */
  record Commit(long batch, List<Write> writes) implements StoreEffect {}

  /**
   * Reads all rows whose key starts with a prefix, as one consistent snapshot.
   *
   * @param prefix the key prefix
   * @param purpose returned with the rows
   */
  record Scan(String prefix, Purpose purpose) implements StoreEffect {}
}
