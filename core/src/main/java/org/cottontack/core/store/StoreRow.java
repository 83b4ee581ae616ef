package org.cottontack.core.store;

/**
 * A row as the table service returned it.
 *
 * @param key its name
 * @param version counts up by one with each write; a row that never existed has version 0
 * @param writeId the write that made this version
 * @param value the content, or null for a row that was deleted or never existed
 */
public record StoreRow(StoreKey key, long version, String writeId, StoredValue value) {

  /** Returns the row that stands for one that does not exist. */
  public static StoreRow absent(StoreKey key) {
    return new StoreRow(key, 0, "", null);
  }
}
