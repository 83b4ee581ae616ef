package org.cottontack.daemon.job;

import java.util.List;
import java.util.function.Consumer;

/**
 * The platform's transactional table service. Calls return at once; each consumer gets exactly one
 * answer, on the process's event loop.
 */
public interface TableStore {

  /** Commits a transaction; an answer that does not come in time is {@code UNKNOWN}. */
  void commit(Transaction change, long timeoutMillis, Consumer<CommitResult> done);

  /** Reads all rows of a partition whose keys begin with a prefix. */
  void scan(String table, String part, String prefix, Consumer<Scan> done);

  /** Waits for changes of a table after a version. */
  void watch(String table, long after, long waitMillis, Consumer<Changes> done);

  /**
   * The rows of a partition.
   *
   * @param answered false when the store gave no answer
   * @param rows the rows, by key
   * @param version the newest version of the store when the rows were read
   * @param storeMillis the store's steady clock when it answered, in milliseconds; 0 when unknown
   */
  record Scan(boolean answered, List<Row> rows, long version, long storeMillis) {

    /** No answer. */
    public static final Scan FAILED = new Scan(false, List.of(), 0, 0);

    /** Keeps the list immutable. */
    public Scan {
      rows = List.copyOf(rows);
    }
  }

  /**
   * What has changed in a table.
   *
   * @param outcome whether there is an answer
   * @param rows the changed rows, in order
   * @param version where to continue
   */
  record Changes(Outcome outcome, List<Row> rows, long version) {

    /** Whether a wait for changes was answered. */
    public enum Outcome {
      /** The rows are all changes after the version asked for. */
      CURRENT,
      /** The store has forgotten changes after that version: read everything again. */
      FORGOTTEN,
      /** No answer. */
      FAILED
    }

    /** Keeps the list immutable. */
    public Changes {
      rows = List.copyOf(rows);
    }

    /** Returns whether the store answered. */
    public boolean answered() {
      return outcome != Outcome.FAILED;
    }

    /** Returns an answer without rows. */
    public static Changes of(Outcome outcome) {
      return new Changes(outcome, List.of(), 0);
    }
  }
}
