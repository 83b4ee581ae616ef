package org.cottontack.daemon.job;

/**
 * Where a row lies in the platform's store.
 *
 * @param table the table
 * @param part the partition; one transaction stays within one
 * @param key the key
 */
public record RowKey(String table, String part, String key) {
  @Override
  public boolean equals(Object other) {
    return other instanceof RowKey that
        && key.equals(that.key)
        && part.equals(that.part)
        && table.equals(that.table);
  }

  @Override
  public int hashCode() {
    return 31 * (31 * key.hashCode() + part.hashCode()) + table.hashCode();
  }
}
