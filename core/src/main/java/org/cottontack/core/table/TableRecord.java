package org.cottontack.core.table;

import org.cottontack.core.store.StoredValue;

/**
 * One accepted version of the table.
 *
 * @param version counts up by one with each accepted edit
 * @param editor who made the edit
 * @param atWall when it was accepted, milliseconds since 1970
 * @param content the table
 */
public record TableRecord(long version, String editor, long atWall, TableContent content)
    implements StoredValue {}
