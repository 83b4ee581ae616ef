package org.cottontack.daemon.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cottontack.core.job.JobId;

/**
 * Removes the rows that count jobs as waiting once a task of theirs has started. Confined to the
 * event loop.
 */
final class WaitingRows {

  /** Time between two removals; a count may be 2 s old. */
  private static final long REMOVE_MILLIS = 500;

  /** Rows removed in one transaction; the store takes 100. */
  private static final int REMOVE_ROWS = 100;

  /** Longest wait for one answer, in milliseconds: covers a store that is 60 times slower. */
  private static final long ANSWER_MILLIS = 2_400;

  private final TableStore store;
  private final Timers timers;
  private final Map<String, List<RowKey>> begun = new HashMap<>();

  /**
   * Partitions with a removal under way. A store that is slow does a few transactions a second in
   * each partition; removals sent without waiting for the last one would keep new jobs out.
   */
  private final Set<String> busy = new HashSet<>();

  private boolean stopped;

  WaitingRows(TableStore store, Timers timers) {
    this.store = store;
    this.timers = timers;
  }

  /** Takes in that a job no longer waits. */
  void begun(JobId id) {
    add(JobTables.waiting(id));
  }

  private void add(RowKey row) {
    begun.computeIfAbsent(row.part(), part -> new ArrayList<>()).add(row);
  }

  /** Begins to remove rows. */
  void start() {
    if (!stopped) {
      begun.keySet().stream().filter(part -> !busy.contains(part)).toList().forEach(this::remove);
      timers.after(REMOVE_MILLIS, this::start);
    }
  }

  /** Ends; calls under way are carried out. */
  void stop() {
    stopped = true;
  }

  private void remove(String part) {
    List<RowKey> rows = begun.remove(part);
    List<RowKey> some = List.copyOf(rows.subList(0, Math.min(rows.size(), REMOVE_ROWS)));
    rows.stream().skip(some.size()).forEach(this::add);
    busy.add(part);
    store.commit(
        new Transaction(Map.of(), Map.of(), some),
        ANSWER_MILLIS,
        answer -> {
          busy.remove(part);
          removed(some, answer);
        });
  }

  /** A row that stays would count its job as waiting for good, so a removal is tried until done. */
  private void removed(List<RowKey> rows, CommitResult answer) {
    if (answer.outcome() != CommitResult.Outcome.DONE) {
      rows.forEach(this::add);
    }
  }
}
