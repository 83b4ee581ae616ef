package org.cottontack.core.table;

import org.cottontack.core.Event;

/** Events of the operators' table. */
public interface TableEvent extends Event {

  /** Timer: checks the store for a newer version. */
  record Poll() implements TableEvent {}

  /**
   * An operator submitted an edit.
   *
   * @param ticket returned with the answer
   * @param expectedVersion the version on which the edit is based
   * @param editor the name of the operator
   * @param content the complete new table
   */
  record EditAsked(long ticket, long expectedVersion, String editor, TableContent content)
      implements TableEvent {}

  /**
   * A version exists that may be newer than the one in force.
   *
   * @param version that version
   */
  record NewerKnown(long version) implements TableEvent {}

  /** A newer version came into force in this process. */
  record Adopted() implements TableEvent {}
}
