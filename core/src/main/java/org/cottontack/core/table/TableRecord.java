package org.cottontack.core.table;

import org.cottontack.core.store.StoredValue;

/**
 * One accepted version of the table.
 *
 * @param version incremented by one with each accepted edit
 * @param editor the operator who made the edit
 * @param atWall wall-clock time of the edit, in milliseconds since 1970
 * @param content the content of the table
 */
public record TableRecord(long version, String editor, long atWall, TableContent content)
    implements StoredValue {}
