package org.cottontack.core.table;

import org.cottontack.core.store.StoredValue;

/**
 * The small row that every process reads every two seconds to check for a newer version. The
 * content is stored in the history row of that version, so that the cost of the check does not
 * depend on the size of the table.
 *
 * @param version the newest accepted version
 * @param editor the operator who made it
 */
public record TablePointer(long version, String editor) implements StoredValue {}
