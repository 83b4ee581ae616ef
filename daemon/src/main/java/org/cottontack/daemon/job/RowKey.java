package org.cottontack.daemon.job;

/**
 * The location of a row in the platform's store.
 *
 * @param table the table
 * @param part the partition; a transaction is limited to one partition
 * @param key the key within the partition
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
