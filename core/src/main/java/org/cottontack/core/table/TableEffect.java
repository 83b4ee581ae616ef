package org.cottontack.core.table;

import java.util.List;
import org.cottontack.core.Effect;

/** Effects of the operators' table. */
public interface TableEffect extends Effect {

  /**
   * The final answer to an edit.
   *
   * @param ticket the ticket of the edit
   * @param verdict the outcome of the edit
   * @param version the version now in force in this process
   * @param messages the faults of the table, or the conflict with another edit, one line each
   */
  record EditAnswered(long ticket, Verdict verdict, long version, List<String> messages)
      implements TableEffect {}

  /** The outcome of an edit. */
  enum Verdict {
    /** The edit became the newest version. */
    ACCEPTED,
    /** The table has faults. */
    INVALID,
    /** The edit is not based on the newest version, for example because another was accepted. */
    STALE
  }
}
