package org.cottontack.core.store;

import java.util.List;
import java.util.stream.Stream;

/**
 * Mutations that are applied together or not at all.
 *
 * @param writeId identifier, unique among all processes; stored with each row so that the outcome
 *     can be determined after a lost response
 * @param mutations at least one mutation, each on a different row
 * @param purpose returned with the outcome
 */
public record Write(String writeId, List<Mutation> mutations, Purpose purpose) {

  /** Copies the mutations into an immutable list. */
  public Write {
    mutations = List.copyOf(mutations);
  }

  Stream<StoreKey> keys() {
    return mutations.stream().map(Mutation::key);
  }
}
