package org.cottontack.daemon.job;

import java.util.List;
import java.util.function.Consumer;
import org.cottontack.core.job.StoreLimits;

/**
 * The platform's transactional table service. Calls return at once; each consumer receives exactly
 * one result, on the process's event loop.
 */
public interface TableStore {

  /**
   * Commits a transaction; the result is {@code UNKNOWN} if no response arrives within the timeout.
   */
  void commit(Transaction transaction, long timeoutMillis, Consumer<CommitResult> done);

  /** Returns the limits of a transaction. */
  default StoreLimits limits() {
    return StoreLimits.STANDARD;
  }

  /** Reads all rows of a partition whose keys start with a prefix. */
  void scan(String table, String part, String prefix, Consumer<Scan> done);

  /** Waits for changes of a table after the given version. */
  void watch(String table, long after, long waitMillis, Consumer<Changes> done);

  /**
   * The result of reading a partition.
   *
   * @param answered false when the store did not answer
   * @param rows the rows, ordered by key
   * @param version the latest version of the store when the rows were read
   * @param storeMillis the store's monotonic clock at the time of its response, in milliseconds; 0
   *     when unknown
   */
  record Scan(boolean answered, List<Row> rows, long version, long storeMillis) {

    /** No response. */
    public static final Scan FAILED = new Scan(false, List.of(), 0, 0);

    /** Copies the list so that the record is immutable. */
    public Scan {
      rows = List.copyOf(rows);
    }
  }

  /**
   * The result of waiting for changes of a table.
   *
   * @param outcome whether the store answered
   * @param rows the changed rows, in order
   * @param version the version from which to continue
   */
  record Changes(Outcome outcome, List<Row> rows, long version) {

    /** The possible outcomes of waiting for changes. */
    public enum Outcome {
      /** The rows are all changes after the requested version. */
      CURRENT,
      /** The store no longer has the changes after that version: the table must be read again. */
      FORGOTTEN,
      /** No response. */
      FAILED
    }

    /** Copies the list so that the record is immutable. */
    public Changes {
      rows = List.copyOf(rows);
    }

    /** Returns whether the store answered. */
    public boolean answered() {
      return outcome != Outcome.FAILED;
    }

    /** Returns a result without rows. */
    public static Changes of(Outcome outcome) {
      return new Changes(outcome, List.of(), 0);
    }
  }
}
