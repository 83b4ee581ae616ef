package org.cottontack.core.table;

import java.util.List;
import org.cottontack.core.Effect;

/** What the table part tells operators. */
public interface TableEffect extends Effect {

  /**
   * The final answer to an edit.
   *
   * @param ticket of the edit
   * @param verdict what became of it
   * @param version the version now in force here
   * @param messages faults, or the rows that others changed, one line each
   */
  record EditAnswered(long ticket, Verdict verdict, long version, List<String> messages)
      implements TableEffect {}

  /** What became of an edit. */
  enum Verdict {
    /** The edit is the newest version. */
    ACCEPTED,
    /** The table has faults. */
    INVALID,
    /** Somebody else's edit came first. */
    STALE
  }
}
