package org.cottontack.daemon.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.cottontack.core.job.JobId;

/**
 * Removes the rows of jobs that ended long ago. A new leader reads all rows before it starts work;
 * without removal each takeover would take longer than the one before. Confined to the event loop.
 */
final class Retention {

  private static final Logger LOG = LogManager.getLogger(Retention.class);

  /** Time between two passes, in milliseconds: at 28 jobs a second eight calls each. */
  private static final long PASS_MILLIS = 5_000;

  /** Jobs in one transaction: two rows each, of which the store takes 100. */
  private static final int JOBS = 50;

  /** Longest wait for one answer, in milliseconds: covers a store that is 60 times slower. */
  private static final long ANSWER_MILLIS = 2_400;

  private record Ended(JobId id, long sinceMillis) {}

  private final TableStore store;
  private final Timers timers;
  private final long keepMillis;
  private final Deque<Ended> ended = new ArrayDeque<>();
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
    List<JobId> old = new ArrayList<>();
    long before = timers.now().mono() - keepMillis;
    while (!ended.isEmpty() && ended.peek().sinceMillis() <= before) {
      old.add(ended.poll().id());
    }
    old.stream()
        .collect(Collectors.groupingBy(id -> JobTables.job(id).part()))
        .values()
        .forEach(this::removeInTurn);
  }

  private void removeInTurn(List<JobId> jobs) {
    IntStream.iterate(0, from -> from < jobs.size(), from -> from + JOBS)
        .mapToObj(from -> jobs.subList(from, Math.min(jobs.size(), from + JOBS)))
        .forEach(this::removeJobs);
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
    remove(rows, jobs, () -> log(jobs));
  }

  private void remove(List<RowKey> rows, List<JobId> jobs, Runnable then) {
    store.commit(
        new Change(Map.of(), Map.of(), rows),
        ANSWER_MILLIS,
        answer -> {
          if (answer.outcome() == CommitAnswer.Outcome.DONE) {
            then.run();
          } else {
            // Removing a row twice does nothing, so the whole job is tried again.
            jobs.forEach(id -> ended.addFirst(new Ended(id, Long.MIN_VALUE / 2)));
          }
        });
  }

  private static void log(List<JobId> jobs) {
    LOG.info(
        new StringMapMessage()
            .with("event", "jobs.removed")
            .with("count", jobs.size())
            .with("jobs", jobs));
  }
}
