package org.cottontack.daemon.job;

/**
 * Where a row lies in the platform's store.
 *
 * @param table the table
 * @param part the partition; one transaction stays within one
 * @param key the key
 */
public record RowKey(String table, String part, String key) {}
