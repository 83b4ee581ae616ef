package org.cottontack.core.table;

import java.util.Optional;
import org.cottontack.core.id.RowName;

/**
 * The table in force in this process.
 *
 * @param record the newest version read, or null before the first
 * @param confirmedAt monotonic time at which the store last confirmed it, or -1
 */
public record TableState(TableRecord record, long confirmedAt) {

  /** The state before the first table was read. */
  public static final TableState EMPTY = new TableState(null, -1);

  /** Returns the version in force, or 0 if there is none. */
  public long version() {
    return record == null ? 0 : record.version();
  }

  /** Returns the row with the given name in the table in force. */
  public Optional<RowSpec> row(RowName name) {
    return Optional.ofNullable(record).flatMap(r -> r.content().row(name));
  }
}
