package org.cottontack.core.store;

import java.util.List;
import org.cottontack.core.Effect;

/** What the core asks of the platform's table service. */
public interface StoreEffect extends Effect {

  /**
   * Commits all writes in one transaction, or none of them.
   *
   * @param batch comes back with the answer
   * @param writes the writes, no row twice
   */
  record Commit(long batch, List<Write> writes) implements StoreEffect {}

  /**
   * Reads all rows whose key starts with a prefix, as one consistent snapshot.
   *
   * @param prefix the prefix
   * @param purpose comes back with the rows
   */
  record Scan(String prefix, Purpose purpose) implements StoreEffect {}
}
