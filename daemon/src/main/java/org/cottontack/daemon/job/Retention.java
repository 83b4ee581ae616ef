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
 * Removes the rows of jobs that ended long ago, and of cancellations that came long ago without a
 * job. A new leader reads all rows before it starts work; without removal each takeover would take
 * longer than the one before. Confined to the event loop.
 */
final class Retention {

  private static final Logger LOG = LogManager.getLogger(Retention.class);

  /** Time between two passes, in milliseconds: at 28 jobs a second eight calls each. */
  private static final long PASS_MILLIS = 5_000;

  /** Jobs, or cancellations, in one transaction: two entries each, of which the store takes 100. */
  private static final int BATCH = 50;

  /** Longest wait for one answer, in milliseconds: covers a store that is 60 times slower. */
  private static final long ANSWER_MILLIS = 2_400;

  private static final long LONG_AGO_MILLIS = Long.MIN_VALUE / 2;

  private record Ended(JobId id, long sinceMillis) {}

  private record Orphan(Row row, long sinceMillis) {}

  private final TableStore store;
  private final Timers timers;
  private final long keepMillis;
  private final Deque<Ended> ended = new ArrayDeque<>();
  private final Map<RowKey, Orphan> orphans = new HashMap<>();
  private final Map<RowKey, Row> leaving = new HashMap<>();
  private boolean stopped;

  /**
   * Creates one that does nothing yet.
   *
   * @param keepMillis how long a job's state can be read after its end was stored; a new leader
   *     counts from the start of its term
   */
  Retention(TableStore store, Timers timers, long keepMillis) {
    this.store = store;
    this.timers = timers;
    this.keepMillis = keepMillis;
  }

  /** Takes in that a job's end is stored and nothing of it runs any more. */
  void ended(JobId id) {
    ended.add(new Ended(id, timers.now().mono()));
  }

  /**
   * Takes in a cancellation that came before its job. It stays as long as the state of a job that
   * ended: by far longer than a submission may be under way.
   */
  void orphan(Row row) {
    orphans.put(row.at(), new Orphan(row, timers.now().mono()));
  }

  /** Takes in that the row of a cancellation was removed. */
  void gone(RowKey at) {
    orphans.remove(at);
  }

  /**
   * Takes in that a job is stored. The row of a cancellation that came before it then stays until
   * the job goes.
   *
   * @return whether there is one
   */
  boolean claim(JobId job) {
    return orphans.remove(JobTables.cancel(job)) != null;
  }

  /** Begins to remove rows. */
  void start() {
    if (!stopped) {
      pass();
      timers.after(PASS_MILLIS, this::start);
    }
  }

  /** Ends; calls under way are carried out. */
  void stop() {
    stopped = true;
  }

  private void pass() {
    long before = timers.now().mono() - keepMillis;
    List<JobId> jobs = new ArrayList<>();
    while (!ended.isEmpty() && ended.peek().sinceMillis() <= before) {
      jobs.add(ended.poll().id());
    }
    batches(jobs, id -> JobTables.job(id).part()).forEach(this::removeJobs);
    List<Row> over =
        orphans.values().stream()
            .filter(one -> one.sinceMillis() <= before)
            .map(Orphan::row)
            .toList();
    over.forEach(row -> orphans.remove(row.at()));
    over.forEach(row -> leaving.put(row.at(), row));
    List<Row> rows = List.copyOf(leaving.values());
    leaving.clear();
    batches(rows, row -> row.at().part()).forEach(this::removeOrphans);
  }

  private static <T> List<List<T>> batches(List<T> all, Function<T, String> part) {
    return all.stream().collect(Collectors.groupingBy(part)).values().stream()
        .flatMap(Retention::inBatches)
        .toList();
  }

  private static <T> Stream<List<T>> inBatches(List<T> all) {
    return IntStream.iterate(0, from -> from < all.size(), from -> from + BATCH)
        .mapToObj(from -> all.subList(from, Math.min(all.size(), from + BATCH)));
  }

  /**
   * Removes cancellations that are as they were. A late copy must not remove one of a job that was
   * submitted and cancelled since.
   */
  private void removeOrphans(List<Row> rows) {
    Map<RowKey, Long> versions = rows.stream().collect(Collectors.toMap(Row::at, Row::version));
    store.commit(
        new Transaction(versions, Map.of(), List.copyOf(versions.keySet())),
        ANSWER_MILLIS,
        answer -> {
          if (answer.outcome() == CommitResult.Outcome.DONE) {
            log("cancels.removed", rows.stream().map(Row::key).toList());
          } else {
            rows.stream()
                .filter(
                    row -> answer.outcome() != CommitResult.Outcome.CONFLICT || same(row, answer))
                .forEach(row -> leaving.putIfAbsent(row.at(), row));
          }
        });
  }

  private static boolean same(Row row, CommitResult answer) {
    return answer.current(row.at()).stream().anyMatch(now -> now.version() == row.version());
  }

  /**
   * Removes jobs before their progress. The other way round a leader that takes over in between
   * would find a job without progress, and run it again.
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

  private void remove(List<RowKey> rows, List<JobId> jobs, Runnable then) {
    store.commit(
        new Transaction(Map.of(), Map.of(), rows),
        ANSWER_MILLIS,
        answer -> {
          if (answer.outcome() == CommitResult.Outcome.DONE) {
            then.run();
          } else {
            // Removing a row twice does nothing, so the whole job is tried again.
            jobs.forEach(id -> ended.addFirst(new Ended(id, LONG_AGO_MILLIS)));
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
