package org.cottontack.daemon.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cottontack.core.job.JobEffect;
import org.cottontack.core.job.JobId;
import org.cottontack.core.job.ProgressRowId;
import org.cottontack.core.job.RecoveryFacts;
import org.cottontack.core.job.StoredProgress;
import org.cottontack.core.peer.Payload;

/**
 * Reads and writes the progress of jobs in the store for one leader. Each write names the version
 * of a fence row and changes that row, so writes of an earlier leader, and late duplicates of our
 * own, conflict. Confined to the event loop.
 */
final class ProgressStore {

  private static final Logger LOG = LogManager.getLogger(ProgressStore.class);

  /** Longest timeout of one call, in milliseconds: enough for a store that is 60 times slower. */
  private static final long MAX_TIMEOUT_MILLIS = 2_400;

  /** Failed attempts of a save before a transaction that changes the fence row alone. */
  private static final int FAILURES_PER_BARRIER = 5;

  /** Number of such transactions beside which a save may fail before it counts as refused. */
  private static final int MAX_BARRIERS = 2;

  /** Pause after a call that failed, in milliseconds. */
  private static final long PAUSE_MILLIS = 100;

  /** The rows of {@link JobTables#PROGRESS} that belong to no job. */
  private static final Set<RowKey> SHARED =
      Set.of(JobTables.FENCE, JobTables.LEARNED, JobTables.LEASE_ENDS);

  /**
   * The progress that a new leader reads.
   *
   * @param jobs stored progress of each job that has any
   * @param stray rows of tasks of jobs that have no main row, by their numbers
   * @param learned content of the {@link JobTables#LEARNED} row; empty when there is none
   * @param facts what was stored of unreachable workers and of starts in doubt, on the store's
   *     clock
   */
  record Found(
      Map<JobId, StoredProgress> jobs,
      Map<JobId, Map<Integer, String>> stray,
      String learned,
      RecoveryFacts facts) {}

  private final WatchedStore store;
  private final Timers timers;
  private final long epoch;
  private final Consumer<String> onDeposed;
  private boolean stopped;
  private long fenceVersion;
  private long saves;

  /**
   * Creates the progress store of one leader; {@link #takeOver} begins to use it.
   *
   * @param epoch the leader's epoch
   * @param onDeposed called with the reason when a newer leader is found
   */
  ProgressStore(WatchedStore store, Timers timers, long epoch, Consumer<String> onDeposed) {
    this.store = store;
    this.timers = timers;
    this.epoch = epoch;
    this.onDeposed = onDeposed;
  }

  /** Stops; no callback is called afterwards. */
  void stop() {
    stopped = true;
  }

  /**
   * Prevents earlier leaders from writing more, and then reads all progress. Each page of each
   * table is read at a moment of its own, so only rows that no other leader changes any more fit
   * together.
   */
  void takeOver(Consumer<Found> done) {
    if (stopped) {
      return;
    }
    store.scan(
        JobTables.PROGRESS,
        JobTables.PROGRESS_PART,
        JobTables.SHARED_PREFIX,
        scan -> {
          if (scan.answered()) {
            claim(scan.rows(), done);
          } else {
            timers.after(PAUSE_MILLIS, () -> takeOver(done));
          }
        });
  }

  /**
   * Writes the fence row, and the facts that are in force as those of this leader: they outlast any
   * number of leaders that end before they have read them. From then on writes of earlier leaders
   * conflict.
   *
   * @param shared the rows that belong to no job, as of one moment
   */
  private void claim(List<Row> shared, Consumer<Found> done) {
    Optional<Row> fenceRow = row(shared, JobTables.FENCE);
    long lastEpoch = fenceRow.map(ProgressStore::epochOf).orElse(0L);
    if (lastEpoch > epoch) {
      onDeposed.accept("a newer leader has taken over");
      return;
    }
    RecoveryFacts facts =
        row(shared, JobTables.LEASE_ENDS)
            .map(row -> facts(LeaseEndsText.parse(row.text()), lastEpoch))
            .orElse(RecoveryFacts.NONE);
    Map<RowKey, Payload> writes = new HashMap<>();
    writes.put(JobTables.FENCE, Payload.of(fence()));
    if (!facts.isEmpty()) {
      writes.put(JobTables.LEASE_ENDS, content(facts));
    }
    Map<RowKey, Long> expected = Map.of(JobTables.FENCE, fenceRow.map(Row::version).orElse(0L));
    store.commit(
        new Transaction(expected, writes, List.of()),
        MAX_TIMEOUT_MILLIS,
        result -> {
          switch (result.outcome()) {
            case DONE -> {
              fenceVersion = result.version();
              new Reading(facts, done).start();
            }
            // An earlier leader goes on saving, or an attempt without an answer was carried out.
            case CONFLICT -> takeOver(done);
            default -> timers.after(PAUSE_MILLIS, () -> takeOver(done));
          }
        });
  }

  private static Optional<Row> row(List<Row> rows, RowKey at) {
    return rows.stream().filter(row -> row.at().equals(at)).findFirst();
  }

  /** The reading of both tables after the claim. If one is not answered, it begins anew. */
  private final class Reading {

    private final RecoveryFacts facts;
    private final Consumer<Found> done;
    private final Map<String, List<Row>> tables = new HashMap<>();
    private boolean failed;

    Reading(RecoveryFacts facts, Consumer<Found> done) {
      this.facts = facts;
      this.done = done;
    }

    void start() {
      if (!stopped) {
        Stream.of(JobTables.PROGRESS, JobTables.PROGRESS_TASKS)
            .forEach(
                table ->
                    store.scan(table, JobTables.PROGRESS_PART, "", scan -> answered(table, scan)));
      }
    }

    private void answered(String table, TableStore.Scan scan) {
      if (failed || stopped) {
        return;
      }
      if (!scan.answered()) {
        failed = true;
        timers.after(PAUSE_MILLIS, () -> new Reading(facts, done).start());
        return;
      }
      tables.put(table, scan.rows());
      List<Row> rows = tables.get(JobTables.PROGRESS);
      List<Row> tasks = tables.get(JobTables.PROGRESS_TASKS);
      if (rows == null || tasks == null) {
        return;
      }
      if (row(rows, JobTables.FENCE).filter(row -> row.version() == fenceVersion).isPresent()) {
        done.accept(found(rows, tasks, facts));
      } else {
        onDeposed.accept("a newer leader has taken over");
      }
    }
  }

  private static Found found(List<Row> rows, List<Row> tasks, RecoveryFacts facts) {
    Map<JobId, String> jobs = new HashMap<>();
    String learned = "";
    for (Row row : rows) {
      if (row.at().equals(JobTables.LEARNED)) {
        learned = row.text();
      } else if (!SHARED.contains(row.at())) {
        read(row, JobId::new).ifPresent(id -> jobs.put(id, row.text()));
      }
    }
    Map<JobId, Map<Integer, String>> parts = parts(tasks);
    Map<JobId, StoredProgress> progress = new HashMap<>();
    jobs.forEach(
        (id, main) ->
            progress.put(
                id,
                new StoredProgress(main, Optional.ofNullable(parts.remove(id)).orElse(Map.of()))));
    return new Found(progress, parts, learned, facts);
  }

  /**
   * Returns the facts that still hold. A later leader of an older version neither reads nor
   * withdraws them; when the latest ignored start was sent holds all the same.
   */
  private static RecoveryFacts facts(LeaseEndsText text, long lastEpoch) {
    return text.epoch() == lastEpoch
        ? text.facts()
        : new RecoveryFacts(Map.of(), Map.of(), text.facts().ignoredStart());
  }

  private static Map<JobId, Map<Integer, String>> parts(List<Row> tasks) {
    Map<JobId, Map<Integer, String>> parts = new HashMap<>();
    for (Row row : tasks) {
      read(row, ProgressRowId::parsePart)
          .flatMap(Function.identity())
          .ifPresent(
              id ->
                  parts
                      .computeIfAbsent(id.job(), job -> new HashMap<>())
                      .put(id.part(), row.text()));
    }
    return parts;
  }

  /**
   * Returns what the key of a row stands for, or empty if it cannot be read: another program may
   * have written the row, and an exception would end the takeover without a result.
   */
  private static <T> Optional<T> read(Row row, Function<String, T> parser) {
    try {
      return Optional.of(parser.apply(row.key()));
    } catch (IllegalArgumentException e) {
      LOG.error("skipping row {}: its key names no job", row.at(), e);
      return Optional.empty();
    }
  }

  private Payload content(RecoveryFacts facts) {
    return Payload.of(new LeaseEndsText(epoch, facts).text(store.limits().sharedRowBytes()));
  }

  private static long epochOf(Row fence) {
    return Long.parseLong(fence.text().split(" ", 2)[0]);
  }

  private String fence() {
    return epoch + " " + saves;
  }

  private String nextFence() {
    saves++;
    return fence();
  }

  /** Receives the end of a save; exactly one of the methods is called, once. */
  interface Listener {

    /** Called when the save is in the store. */
    void saved();

    /** Called when the store refuses the save for its content; nothing of it is written, ever. */
    void refused();
  }

  /**
   * Writes progress; the caller has at most one save in flight.
   *
   * @param facts the facts to write, on the store's clock; empty to write none
   */
  void save(JobEffect.SaveProgress save, Optional<RecoveryFacts> facts, Listener listener) {
    Map<RowKey, Payload> writes = new HashMap<>();
    save.progress().forEach((id, text) -> writes.put(JobTables.progress(id), Payload.of(text)));
    if (!save.learned().isEmpty()) {
      writes.put(JobTables.LEARNED, Payload.of(save.learned()));
    }
    facts.ifPresent(all -> writes.put(JobTables.LEASE_ENDS, content(all)));
    List<RowKey> removals = save.removals().stream().map(JobTables::progress).toList();
    new Save(writes, removals, listener).start();
  }

  /**
   * One save, sent until it is certainly stored or refused. Without the version of the fence row a
   * duplicate of an unanswered attempt could be carried out after newer writes and restore an old
   * state. Where attempts fail repeatedly, a transaction that changes the fence row alone shows
   * whether the store serves this leader; once it is stored, no earlier attempt can be carried out
   * any more. A save that goes on failing beside such transactions counts as refused.
   */
  private final class Save {

    private final Map<RowKey, Payload> writes;
    private final List<RowKey> removals;
    private final Listener listener;
    private String mark = "";
    private long timeoutMillis = store.retryTimeoutMillis();
    private int failures;
    private int barriers;

    Save(Map<RowKey, Payload> writes, List<RowKey> removals, Listener listener) {
      this.writes = writes;
      this.removals = removals;
      this.listener = listener;
    }

    void start() {
      mark = nextFence();
      send();
    }

    private void send() {
      Map<RowKey, Payload> all = new HashMap<>(writes);
      all.put(JobTables.FENCE, Payload.of(mark));
      commit(all, removals, this::answered);
    }

    private void sendBarrier() {
      commit(Map.of(JobTables.FENCE, Payload.of(nextFence())), List.of(), this::answeredBarrier);
    }

    private void commit(
        Map<RowKey, Payload> all, List<RowKey> removed, BiConsumer<CommitResult, Long> answer) {
      if (!stopped) {
        long sentMillis = timers.now().mono();
        store.commit(
            new Transaction(Map.of(JobTables.FENCE, fenceVersion), all, removed),
            timeoutMillis,
            result -> answer.accept(result, sentMillis));
      }
    }

    private void answered(CommitResult result, long sentMillis) {
      switch (result.outcome()) {
        case DONE -> saved(result.version());
        case INVALID -> refused();
        case CONFLICT -> conflict(result);
        case REFUSED, UNKNOWN -> {
          failures++;
          boolean barrierDue = failures % FAILURES_PER_BARRIER == 0;
          afterFailure(result, sentMillis, barrierDue ? this::sendBarrier : this::send);
        }
        default -> throw new IllegalStateException("no such outcome: " + result.outcome());
      }
    }

    private void answeredBarrier(CommitResult result, long sentMillis) {
      switch (result.outcome()) {
        case DONE -> passedBarrier(result.version());
        case CONFLICT -> conflict(result);
        default -> afterFailure(result, sentMillis, this::send);
      }
    }

    /** Repeats after a pause; a timeout counts as one, an error status or a reset comes at once. */
    private void afterFailure(CommitResult result, long sentMillis, Runnable next) {
      long elapsedMillis = timers.now().mono() - sentMillis;
      boolean refused = result.outcome() == CommitResult.Outcome.REFUSED;
      timeoutMillis = refused ? timeoutMillis : Math.min(2 * timeoutMillis, MAX_TIMEOUT_MILLIS);
      timers.after(refused ? PAUSE_MILLIS : Math.max(0, PAUSE_MILLIS - elapsedMillis), next);
    }

    /** Handles a fence row of another version. Only this leader writes rows with its epoch. */
    private void conflict(CommitResult result) {
      Optional<Row> fence = result.current(JobTables.FENCE);
      if (fence.filter(row -> row.text().equals(mark)).isPresent()) {
        saved(fence.get().version());
      } else if (fence.filter(row -> epochOf(row) == epoch).isPresent()) {
        passedBarrier(fence.get().version());
      } else {
        onDeposed.accept("another leader writes progress");
      }
    }

    private void passedBarrier(long version) {
      fenceVersion = version;
      barriers++;
      if (barriers < MAX_BARRIERS) {
        start();
      } else {
        refused();
      }
    }

    private void saved(long version) {
      fenceVersion = version;
      if (!stopped) {
        listener.saved();
      }
    }

    private void refused() {
      if (!stopped) {
        listener.refused();
      }
    }
  }
}
