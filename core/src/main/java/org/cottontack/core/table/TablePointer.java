package org.cottontack.core.table;

import org.cottontack.core.store.StoredValue;

/**
 * The small row that every process reads every two seconds; the content stands in the history row
 * of that version, so that looking for news costs the same whatever the size of the table.
 *
 * @param version the version in force
 * @param editor who made it
 */
public record TablePointer(long version, String editor) implements StoredValue {}
