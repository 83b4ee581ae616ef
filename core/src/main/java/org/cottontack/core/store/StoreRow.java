package org.cottontack.core.store;

/**
 * A row as returned by the platform's table service.
 *
 * @param key the key of the row
 * @param version incremented by one with each write; 0 for a row that never existed
 * @param writeId identifier of the write that created this version
 * @param value the content, or null for a row that was deleted or never existed
 */
public record StoreRow(StoreKey key, long version, String writeId, StoredValue value) {

  /** Returns a row that represents one that never existed. */
  public static StoreRow absent(StoreKey key) {
    return new StoreRow(key, 0, "", null);
  }
}
