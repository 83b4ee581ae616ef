package org.cottontack.core.table;

import org.cottontack.core.Event;

/** Events of the operators' table. */
public interface TableEvent extends Event {

  /** Time to look for a newer version. */
  record Poll() implements TableEvent {}

  /**
   * An operator's edit.
   *
   * @param ticket comes back with the answer
   * @param expectedVersion the version the edit was made from
   * @param editor who makes it
   * @param content the whole new table
   */
  record EditAsked(long ticket, long expectedVersion, String editor, TableContent content)
      implements TableEvent {}

  /**
   * A version newer than the one in force is known to exist.
   *
   * @param version that version
   */
  record NewerKnown(long version) implements TableEvent {}

  /** Another version came into force in this process. */
  record Adopted() implements TableEvent {}
}
