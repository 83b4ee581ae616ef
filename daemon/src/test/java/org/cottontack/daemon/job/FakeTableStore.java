package org.cottontack.daemon.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import org.cottontack.core.job.StoreLimits;
import org.cottontack.core.peer.Payload;

/** The platform's store in virtual time, with versions, conditions, and lost or late responses. */
final class FakeTableStore {

  private static final long RESPONSE_MILLIS = 10;

  /** Client timeout of a read, in milliseconds. */
  private static final long SCAN_TIMEOUT_MILLIS = 1_500;

  /** Client timeout of a wait for changes beyond the requested waiting time, in milliseconds. */
  private static final long WATCH_MARGIN_MILLIS = 700;

  /** How the store treats a transaction. */
  enum CommitBehaviour {
    /** It is carried out and answered. */
    GOOD,
    /** The store refuses it and does nothing. */
    REFUSED,
    /** The store refuses it for its content and does nothing. */
    INVALID,
    /** It is not carried out, and the response does not say so. */
    FAILED,
    /** It is carried out, and the response is lost. */
    ANSWER_LOST,
    /**
     * It is carried out {@link #lateMillis} later if its condition still holds; there is no
     * response.
     */
    LATE
  }

  /** The behaviours that depend on the moment, not on the content of a transaction. */
  static final List<CommitBehaviour> TRANSIENT =
      List.of(
          CommitBehaviour.GOOD,
          CommitBehaviour.REFUSED,
          CommitBehaviour.ANSWER_LOST,
          CommitBehaviour.LATE);

  private record PendingWatch(String table, long after, Consumer<TableStore.Changes> done) {}

  private final VirtualTimers.View self;
  private final Map<RowKey, Row> rows = new LinkedHashMap<>();
  private final List<Row> history = new ArrayList<>();
  private final List<PendingWatch> pendingWatches = new ArrayList<>();
  private long version = 1;
  Function<Transaction, CommitBehaviour> commitBehaviour = transaction -> CommitBehaviour.GOOD;

  /** Delay from the call of a late transaction until it is carried out, in milliseconds. */
  long lateMillis = 3_000;

  /**
   * How long a transaction takes, in milliseconds. A partition carries out one transaction after
   * the other.
   */
  long transactionMillis = RESPONSE_MILLIS;

  private final Map<String, Long> partitionFreeMillis = new HashMap<>();
  int transactions;

  /**
   * How long a read takes, and how long the store takes before it starts to wait for changes, in
   * milliseconds.
   */
  long readMillis = RESPONSE_MILLIS;

  /** Extra time after which a read takes its rows, in milliseconds. */
  ToLongFunction<String> extraReadMillis = call -> 0;

  /** Extra latency of the response to a call, in milliseconds. */
  ToLongFunction<String> extraLatencyMillis = call -> 0;

  FakeTableStore(VirtualTimers time) {
    this.self = time.process();
  }

  Map<String, String> table(String table) {
    Map<String, String> found = new TreeMap<>();
    rows.values().stream()
        .filter(row -> row.at().table().equals(table))
        .forEach(row -> found.put(row.key(), row.text()));
    return found;
  }

  /**
   * Returns the store as seen by one process, which can reach it only for calls that pass the
   * filter.
   */
  TableStore seenBy(VirtualTimers.View process, Predicate<String> reachable) {
    return new View(process, reachable);
  }

  private final class View implements TableStore {

    private final VirtualTimers.View process;
    private final Predicate<String> reachable;

    View(VirtualTimers.View process, Predicate<String> reachable) {
      this.process = process;
      this.reachable = reachable;
    }

    @Override
    public void commit(Transaction transaction, long timeoutMillis, Consumer<CommitResult> done) {
      if (!reachable.test("commit")) {
        process.after(timeoutMillis, () -> done.accept(result(CommitResult.Outcome.UNKNOWN)));
        return;
      }
      switch (exceedsLimits(transaction)
          ? CommitBehaviour.INVALID
          : commitBehaviour.apply(transaction)) {
        case GOOD -> {
          boolean[] completed = {false};
          Consumer<CommitResult> once =
              result -> {
                if (!completed[0]) {
                  completed[0] = true;
                  done.accept(result);
                }
              };
          self.after(
              queueDelayMillis(transaction),
              () -> {
                CommitResult result = apply(transaction);
                process.after(0, () -> once.accept(result));
              });
          process.after(timeoutMillis, () -> once.accept(result(CommitResult.Outcome.UNKNOWN)));
        }
        case REFUSED ->
            process.after(RESPONSE_MILLIS, () -> done.accept(result(CommitResult.Outcome.REFUSED)));
        case INVALID ->
            process.after(RESPONSE_MILLIS, () -> done.accept(result(CommitResult.Outcome.INVALID)));
        case FAILED ->
            process.after(RESPONSE_MILLIS, () -> done.accept(result(CommitResult.Outcome.UNKNOWN)));
        case ANSWER_LOST -> {
          self.after(RESPONSE_MILLIS, () -> apply(transaction));
          process.after(timeoutMillis, () -> done.accept(result(CommitResult.Outcome.UNKNOWN)));
        }
        case LATE -> {
          self.after(lateMillis, () -> apply(transaction));
          process.after(timeoutMillis, () -> done.accept(result(CommitResult.Outcome.UNKNOWN)));
        }
        default -> throw new IllegalStateException("unknown behaviour");
      }
    }

    private CommitResult result(CommitResult.Outcome outcome) {
      return CommitResult.of(outcome);
    }

    @Override
    public void scan(String table, String part, String prefix, Consumer<Scan> done) {
      if (!reachable.test("scan " + table)) {
        process.after(1_000, () -> done.accept(Scan.FAILED));
        return;
      }
      long deadlineMillis = self.now().mono() + SCAN_TIMEOUT_MILLIS;
      self.after(
          readMillis + extraReadMillis.applyAsLong("scan " + table),
          () ->
              deliver(
                  "scan " + table, deadlineMillis, read(table, part, prefix), Scan.FAILED, done));
    }

    private Scan read(String table, String part, String prefix) {
      return new Scan(
          true,
          rows.values().stream()
              .filter(row -> row.at().table().equals(table))
              .filter(row -> row.at().part().equals(part))
              .filter(row -> row.key().startsWith(prefix))
              .toList(),
          version,
          clock());
    }

    /** Delivers a response to the process, or the timeout result if it would arrive too late. */
    private <T> void deliver(
        String call, long deadlineMillis, T response, T none, Consumer<T> done) {
      long now = self.now().mono();
      long delayMillis = extraLatencyMillis.applyAsLong(call);
      boolean lost = now + delayMillis > deadlineMillis;
      process.after(
          lost ? Math.max(0, deadlineMillis - now) : delayMillis,
          () -> done.accept(lost ? none : response));
    }

    @Override
    public void watch(String table, long after, long waitMillis, Consumer<Changes> done) {
      if (!reachable.test("follow " + table)) {
        process.after(
            waitMillis + WATCH_MARGIN_MILLIS,
            () -> done.accept(Changes.of(Changes.Outcome.FAILED)));
        return;
      }
      long deadlineMillis = self.now().mono() + waitMillis + WATCH_MARGIN_MILLIS;
      boolean[] completed = {false};
      Consumer<Changes> once =
          changes -> {
            if (!completed[0]) {
              completed[0] = true;
              deliver(
                  "follow " + table,
                  deadlineMillis,
                  changes,
                  Changes.of(Changes.Outcome.FAILED),
                  done);
            }
          };
      PendingWatch watch = new PendingWatch(table, after, once);
      if (readMillis > RESPONSE_MILLIS) {
        self.after(readMillis, () -> await(watch, waitMillis));
      } else {
        await(watch, waitMillis);
      }
    }

    private void await(PendingWatch watch, long waitMillis) {
      pendingWatches.add(watch);
      deliverChanges(watch);
      self.after(
          waitMillis,
          () -> {
            pendingWatches.remove(watch);
            watch.done().accept(new Changes(Changes.Outcome.CURRENT, List.of(), version));
          });
    }
  }

  /** Returns whether a transaction, as it is sent, exceeds the limits of the store. */
  private static boolean exceedsLimits(Transaction transaction) {
    StoreLimits limits = StoreLimits.STANDARD;
    long bytes =
        transaction.writes().values().stream()
            .mapToLong(content -> StoreLimits.sentBytes(content.bytes().length))
            .sum();
    int others = transaction.expected().size() + transaction.removals().size();
    return bytes + others * StoreLimits.sentBytes(0) > limits.callBytes()
        || transaction.writes().size() + others > limits.callEntries()
        || transaction.writes().values().stream()
            .anyMatch(content -> content.bytes().length > limits.rowBytes());
  }

  private long queueDelayMillis(Transaction transaction) {
    transactions++;
    String part =
        Stream.concat(transaction.writes().keySet().stream(), transaction.removals().stream())
            .map(RowKey::part)
            .findFirst()
            .orElse("");
    long now = self.now().mono();
    long end = Math.max(now, partitionFreeMillis.getOrDefault(part, 0L)) + transactionMillis;
    partitionFreeMillis.put(part, end);
    return end - now;
  }

  /** Writes rows as other programs do, over as many transactions as that takes. */
  void writeAll(Map<RowKey, Payload> contents) {
    apply(new Transaction(Map.of(), contents, List.of()));
  }

  private CommitResult apply(Transaction transaction) {
    boolean holds =
        transaction.expected().entrySet().stream()
            .allMatch(e -> versionOf(e.getKey()) == e.getValue());
    if (!holds) {
      List<Row> current = transaction.expected().keySet().stream().map(rows::get).toList();
      return new CommitResult(
          CommitResult.Outcome.CONFLICT,
          0,
          current.stream().filter(Objects::nonNull).toList(),
          clock());
    }
    version++;
    transaction.writes().forEach((at, value) -> put(new Row(at, value, version, false)));
    transaction.removals().forEach(at -> put(new Row(at, Payload.EMPTY, version, true)));
    List.copyOf(pendingWatches).forEach(this::deliverChanges);
    return new CommitResult(CommitResult.Outcome.DONE, version, List.of(), clock());
  }

  /** Returns the store's own monotonic clock, which started long before the instances. */
  private long clock() {
    return 7_000_000 + self.now().mono();
  }

  private long versionOf(RowKey at) {
    Row row = rows.get(at);
    return row == null ? 0 : row.version();
  }

  private void put(Row row) {
    history.add(row);
    if (row.removed()) {
      rows.remove(row.at());
    } else {
      rows.put(row.at(), row);
    }
  }

  private void deliverChanges(PendingWatch watch) {
    List<Row> changes =
        history.stream()
            .filter(row -> row.at().table().equals(watch.table()) && row.version() > watch.after())
            .toList();
    if (!changes.isEmpty()) {
      pendingWatches.remove(watch);
      watch
          .done()
          .accept(new TableStore.Changes(TableStore.Changes.Outcome.CURRENT, changes, version));
    }
  }
}
