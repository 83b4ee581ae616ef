package org.cottontack.daemon.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.cottontack.core.job.JobId;

/**
 * Removes rows of jobs that ended, and of cancellations without a job, after their retention time.
 * A new leader reads all rows before it starts work, so without removal each takeover would take
 * longer than the previous one. Confined to the event loop.
 */
final class Retention {

  private static final Logger LOG = LogManager.getLogger(Retention.class);

  /**
   * Interval between removal passes, in milliseconds. At 28 jobs per second, a pass makes eight
   * calls.
   */
  private static final long PASS_INTERVAL_MILLIS = 5_000;

  /**
   * Jobs or cancellations per transaction. Each takes two entries, and the store accepts 100
   * entries.
   */
  private static final int BATCH_SIZE = 50;

  /**
   * Timeout of a transaction, in milliseconds. It is long enough for a store that is 60 times
   * slower than usual.
   */
  private static final long COMMIT_TIMEOUT_MILLIS = 2_400;

  private static final long ALREADY_DUE_MILLIS = Long.MIN_VALUE / 2;

  private record EndedJob(JobId id, long sinceMillis) {}

  private record UnmatchedCancellation(Row row, long sinceMillis) {}

  private final TableStore store;
  private final Timers timers;
  private final long keepMillis;
  private final Deque<EndedJob> endedJobs = new ArrayDeque<>();
  private final Map<RowKey, UnmatchedCancellation> unmatchedCancellations = new HashMap<>();
  private final Map<RowKey, Row> rowsToRemove = new HashMap<>();
  private boolean stopped;

  /**
   * Creates an instance that does nothing before {@link #start}.
   *
   * @param keepMillis how long a job's state stays readable after its end was stored; a new leader
   *     counts from the start of its term
   */
  Retention(TableStore store, Timers timers, long keepMillis) {
    this.store = store;
    this.timers = timers;
    this.keepMillis = keepMillis;
  }

  /** Called when a job's end is stored and none of its tasks is running. */
  void ended(JobId id) {
    endedJobs.add(new EndedJob(id, timers.now().mono()));
  }

  /**
   * Records a cancellation that was stored before its job. Its row is kept as long as the state of
   * an ended job, which is far longer than a submission may be in flight.
   */
  void addUnmatchedCancellation(Row row) {
    unmatchedCancellations.put(row.at(), new UnmatchedCancellation(row, timers.now().mono()));
  }

  /** Called when the row of a cancellation was removed. */
  void cancellationRemoved(RowKey at) {
    unmatchedCancellations.remove(at);
  }

  /**
   * Called when a job is stored. If a cancellation was stored before the job, the row of the
   * cancellation is from now on removed together with the job.
   *
   * @return whether there is such a cancellation
   */
  boolean matchCancellation(JobId job) {
    return unmatchedCancellations.remove(JobTables.cancel(job)) != null;
  }

  /** Starts periodic removal. */
  void start() {
    if (!stopped) {
      removeExpired();
      timers.after(PASS_INTERVAL_MILLIS, this::start);
    }
  }

  /** Stops removal; transactions already sent are still carried out. */
  void stop() {
    stopped = true;
  }

  private void removeExpired() {
    long cutoffMillis = timers.now().mono() - keepMillis;
    List<JobId> jobs = new ArrayList<>();
    while (!endedJobs.isEmpty() && endedJobs.peek().sinceMillis() <= cutoffMillis) {
      jobs.add(endedJobs.poll().id());
    }
    batches(jobs, id -> JobTables.job(id).part()).forEach(this::removeJobs);
    List<Row> expired =
        unmatchedCancellations.values().stream()
            .filter(cancellation -> cancellation.sinceMillis() <= cutoffMillis)
            .map(UnmatchedCancellation::row)
            .toList();
    expired.forEach(row -> unmatchedCancellations.remove(row.at()));
    expired.forEach(row -> rowsToRemove.put(row.at(), row));
    List<Row> rows = List.copyOf(rowsToRemove.values());
    rowsToRemove.clear();
    batches(rows, row -> row.at().part()).forEach(this::removeCancellations);
  }

  private static <T> List<List<T>> batches(List<T> all, Function<T, String> part) {
    return all.stream().collect(Collectors.groupingBy(part)).values().stream()
        .flatMap(Retention::inBatches)
        .toList();
  }

  private static <T> Stream<List<T>> inBatches(List<T> all) {
    return IntStream.iterate(0, from -> from < all.size(), from -> from + BATCH_SIZE)
        .mapToObj(from -> all.subList(from, Math.min(all.size(), from + BATCH_SIZE)));
  }

  /**
   * Removes the rows of cancellations, on condition that their versions are unchanged. Otherwise a
   * late transaction could remove the cancellation of a job that was submitted and cancelled in the
   * meantime.
   */
  private void removeCancellations(List<Row> rows) {
    Map<RowKey, Long> versions = rows.stream().collect(Collectors.toMap(Row::at, Row::version));
    store.commit(
        new Transaction(versions, Map.of(), List.copyOf(versions.keySet())),
        COMMIT_TIMEOUT_MILLIS,
        result -> {
          if (result.outcome() == CommitResult.Outcome.DONE) {
            log("cancels.removed", rows.stream().map(Row::key).toList());
          } else {
            rows.stream()
                .filter(
                    row ->
                        result.outcome() != CommitResult.Outcome.CONFLICT
                            || isUnchanged(row, result))
                .forEach(row -> rowsToRemove.putIfAbsent(row.at(), row));
          }
        });
  }

  private static boolean isUnchanged(Row row, CommitResult result) {
    return result.current(row.at()).stream().anyMatch(now -> now.version() == row.version());
  }

  /**
   * Removes the rows of jobs before their progress. In the opposite order, a leader that takes over
   * between the two transactions would find a job without progress and run it again.
   */
  private void removeJobs(List<JobId> jobs) {
    List<RowKey> rows =
        jobs.stream().flatMap(id -> Stream.of(JobTables.job(id), JobTables.cancel(id))).toList();
    remove(rows, jobs, () -> removeProgress(jobs));
  }

  private void removeProgress(List<JobId> jobs) {
    List<RowKey> rows = jobs.stream().map(JobTables::progress).toList();
    remove(rows, jobs, () -> log("jobs.removed", jobs));
  }

  private void remove(List<RowKey> rows, List<JobId> jobs, Runnable onRemoved) {
    store.commit(
        new Transaction(Map.of(), Map.of(), rows),
        COMMIT_TIMEOUT_MILLIS,
        result -> {
          if (result.outcome() == CommitResult.Outcome.DONE) {
            onRemoved.run();
          } else {
            // Removing a row twice has no effect, so both transactions of the job are retried.
            jobs.forEach(id -> endedJobs.addFirst(new EndedJob(id, ALREADY_DUE_MILLIS)));
          }
        });
  }

  private static void log(String event, List<?> removed) {
    LOG.info(
        new StringMapMessage()
            .with("event", event)
            .with("count", removed.size())
            .with("jobs", removed));
  }
}
