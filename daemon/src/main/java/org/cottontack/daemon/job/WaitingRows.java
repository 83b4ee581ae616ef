package org.cottontack.daemon.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cottontack.core.job.JobId;

/**
 * Removes the rows that count jobs as waiting, once a task of the job has started. Confined to the
 * event loop.
 */
final class WaitingRows {

  /** Interval between removals, in milliseconds. A reported count may be up to 2 s old. */
  private static final long REMOVE_INTERVAL_MILLIS = 500;

  /** Rows removed per transaction; the store accepts 100. */
  private static final int BATCH_SIZE = 100;

  /**
   * Timeout of a transaction, in milliseconds. It is long enough for a store that is 60 times
   * slower than usual.
   */
  private static final long COMMIT_TIMEOUT_MILLIS = 2_400;

  private final TableStore store;
  private final Timers timers;
  private final Map<String, List<RowKey>> rowsToRemove = new HashMap<>();

  /**
   * Partitions with a removal in flight. A slow store carries out only a few transactions per
   * second in each partition. If removals were sent without waiting for the previous one, they
   * would block the submission of new jobs.
   */
  private final Set<String> partitionsInFlight = new HashSet<>();

  private boolean stopped;

  WaitingRows(TableStore store, Timers timers) {
    this.store = store;
    this.timers = timers;
  }

  /** Called when a job no longer waits for its first start; schedules its row for removal. */
  void jobStarted(JobId id) {
    add(JobTables.waiting(id));
  }

  private void add(RowKey row) {
    rowsToRemove.computeIfAbsent(row.part(), part -> new ArrayList<>()).add(row);
  }

  /** Starts periodic removal. */
  void start() {
    if (!stopped) {
      rowsToRemove.keySet().stream()
          .filter(part -> !partitionsInFlight.contains(part))
          .toList()
          .forEach(this::remove);
      timers.after(REMOVE_INTERVAL_MILLIS, this::start);
    }
  }

  /** Stops removal; transactions already sent are still carried out. */
  void stop() {
    stopped = true;
  }

  private void remove(String part) {
    List<RowKey> rows = rowsToRemove.remove(part);
    List<RowKey> batch = List.copyOf(rows.subList(0, Math.min(rows.size(), BATCH_SIZE)));
    rows.stream().skip(batch.size()).forEach(this::add);
    partitionsInFlight.add(part);
    store.commit(
        new Transaction(Map.of(), Map.of(), batch),
        COMMIT_TIMEOUT_MILLIS,
        result -> {
          partitionsInFlight.remove(part);
          retryUnlessRemoved(batch, result);
        });
  }

  /**
   * Schedules rows for another attempt unless they were removed. A row that was left behind would
   * count its job as waiting indefinitely.
   */
  private void retryUnlessRemoved(List<RowKey> rows, CommitResult result) {
    if (result.outcome() != CommitResult.Outcome.DONE) {
      rows.forEach(this::add);
    }
  }
}
