package org.cottontack.core.store;

/**
 * A conditional change of one row.
 *
 * @param key the key of the row
 * @param expectedVersion the version that the row must have, or 0 if the row must not exist
 * @param action the action applied to the row if the condition holds
 * @param value the new content for {@link Action#PUT}, otherwise null
 */
public record Mutation(StoreKey key, long expectedVersion, Action action, StoredValue value) {

  /** The action of a mutation on its row. */
  public enum Action {
    /** Writes the new content. */
    PUT,
    /** Removes the row. */
    DELETE,
    /** Leaves the row unchanged and only checks the condition. */
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

  /** Returns a mutation that changes nothing, but fails the write unless the version matches. */
  public static Mutation check(StoreKey key, long expectedVersion) {
    return new Mutation(key, expectedVersion, Action.CHECK, null);
  }
}
