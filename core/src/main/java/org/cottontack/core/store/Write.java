package org.cottontack.core.store;

import java.util.List;
import java.util.stream.Stream;

/**
 * Mutations that take effect together or not at all.
 *
 * @param writeId unique over all processes; stored with each row so that a lost answer is resolved
 * @param mutations at least one, each on another row
 * @param purpose comes back with the outcome
 */
public record Write(String writeId, List<Mutation> mutations, Purpose purpose) {

  /** Keeps the mutations immutable. */
  public Write {
    mutations = List.copyOf(mutations);
  }

  Stream<StoreKey> keys() {
    return mutations.stream().map(Mutation::key);
  }
}
