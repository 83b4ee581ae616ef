package org.cottontack.core.store;

/**
 * A conditional change of one row.
 *
 * @param key the row
 * @param expectedVersion the version the row must have, 0 for one that must not exist
 * @param action what is done to the row when the condition holds
 * @param value the new content for {@link Action#PUT}, otherwise null
 */
public record Mutation(StoreKey key, long expectedVersion, Action action, StoredValue value) {

  /** What a mutation does to its row. */
  public enum Action {
    /** Writes the new content. */
    PUT,
    /** Removes the row. */
    DELETE,
    /** Leaves the row as it is; only the condition counts. */
    CHECK
  }

  /** Returns a mutation that writes a row. */
  public static Mutation put(StoreKey key, long expectedVersion, StoredValue value) {
    return new Mutation(key, expectedVersion, Action.PUT, value);
  }

  /** Returns a mutation that removes a row. */
  public static Mutation delete(StoreKey key, long expectedVersion) {
    return new Mutation(key, expectedVersion, Action.DELETE, null);
  }

  /** Returns a mutation that changes nothing but fails the write unless the version is met. */
  public static Mutation check(StoreKey key, long expectedVersion) {
    return new Mutation(key, expectedVersion, Action.CHECK, null);
  }
}
