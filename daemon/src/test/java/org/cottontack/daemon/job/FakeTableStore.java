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
import org.cottontack.core.peer.Payload;

/** The platform's store in virtual time: versions, conditions, lost and late answers. */
final class FakeTableStore {

  private static final long ANSWER_MILLIS = 10;

  /** After which a client gives up on a page, in milliseconds. */
  private static final long SCAN_PATIENCE_MILLIS = 1_500;

  /** After which a client gives up on news, beyond the wait that it asked for, in milliseconds. */
  private static final long FOLLOW_SLACK_MILLIS = 700;

  /** What becomes of a transaction. */
  enum Fate {
    /** It is done and answered. */
    GOOD,
    /** The store says that it does nothing. */
    REFUSED,
    /** It is done, and the answer is lost. */
    ANSWER_LOST,
    /** It is done seconds later, if its condition still holds, without an answer. */
    LATE
  }

  private record Waiting(String table, long after, Consumer<TableStore.Changes> done) {}

  private final VirtualTimers.View self;
  private final Map<RowKey, Row> rows = new LinkedHashMap<>();
  private final List<Row> history = new ArrayList<>();
  private final List<Waiting> waiting = new ArrayList<>();
  private long version = 1;
  Function<Transaction, Fate> fate = change -> Fate.GOOD;

  /** When a late transaction is done, in milliseconds after its call. */
  long lateMillis = 3_000;

  /** How long a transaction takes; one partition does one after the other. */
  long transactionMillis = ANSWER_MILLIS;

  private final Map<String, Long> partFreeMillis = new HashMap<>();
  int transactions;

  /** How long a read takes, and the store to begin to wait for news, in milliseconds. */
  long readMillis = ANSWER_MILLIS;

  /** How long the answer to a call is on its way beyond that, in milliseconds. */
  ToLongFunction<String> heldMillis = call -> 0;

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

  /** Returns the store as one process reaches it. */
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
    public void commit(Transaction change, long timeoutMillis, Consumer<CommitResult> done) {
      if (!reachable.test("commit")) {
        process.after(timeoutMillis, () -> done.accept(answer(CommitResult.Outcome.UNKNOWN)));
        return;
      }
      switch (fate.apply(change)) {
        case GOOD -> {
          boolean[] told = {false};
          Consumer<CommitResult> once =
              answer -> {
                if (!told[0]) {
                  told[0] = true;
                  done.accept(answer);
                }
              };
          self.after(
              turnMillis(change),
              () -> {
                CommitResult answer = apply(change);
                process.after(0, () -> once.accept(answer));
              });
          process.after(timeoutMillis, () -> once.accept(answer(CommitResult.Outcome.UNKNOWN)));
        }
        case REFUSED ->
            process.after(ANSWER_MILLIS, () -> done.accept(answer(CommitResult.Outcome.REFUSED)));
        case ANSWER_LOST -> {
          self.after(ANSWER_MILLIS, () -> apply(change));
          process.after(timeoutMillis, () -> done.accept(answer(CommitResult.Outcome.UNKNOWN)));
        }
        case LATE -> {
          self.after(lateMillis, () -> apply(change));
          process.after(timeoutMillis, () -> done.accept(answer(CommitResult.Outcome.UNKNOWN)));
        }
        default -> throw new IllegalStateException("no such fate");
      }
    }

    private CommitResult answer(CommitResult.Outcome outcome) {
      return CommitResult.of(outcome);
    }

    @Override
    public void scan(String table, String part, String prefix, Consumer<Scan> done) {
      if (!reachable.test("scan " + table)) {
        process.after(1_000, () -> done.accept(Scan.FAILED));
        return;
      }
      long latest = self.now().mono() + SCAN_PATIENCE_MILLIS;
      self.after(
          readMillis,
          () -> deliver("scan " + table, latest, read(table, part, prefix), Scan.FAILED, done));
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

    /** Brings an answer to the process, or none when that gives up first. */
    private <T> void deliver(String call, long latest, T answer, T none, Consumer<T> done) {
      long now = self.now().mono();
      long held = heldMillis.applyAsLong(call);
      boolean lost = now + held > latest;
      process.after(
          lost ? Math.max(0, latest - now) : held, () -> done.accept(lost ? none : answer));
    }

    @Override
    public void watch(String table, long after, long waitMillis, Consumer<Changes> done) {
      if (!reachable.test("follow " + table)) {
        process.after(
            waitMillis + FOLLOW_SLACK_MILLIS,
            () -> done.accept(Changes.of(Changes.Outcome.FAILED)));
        return;
      }
      long latest = self.now().mono() + waitMillis + FOLLOW_SLACK_MILLIS;
      boolean[] told = {false};
      Consumer<Changes> once =
          news -> {
            if (!told[0]) {
              told[0] = true;
              deliver("follow " + table, latest, news, Changes.of(Changes.Outcome.FAILED), done);
            }
          };
      Waiting wait = new Waiting(table, after, once);
      if (readMillis > ANSWER_MILLIS) {
        self.after(readMillis, () -> await(wait, waitMillis));
      } else {
        await(wait, waitMillis);
      }
    }

    private void await(Waiting wait, long waitMillis) {
      waiting.add(wait);
      tell(wait);
      self.after(
          waitMillis,
          () -> {
            waiting.remove(wait);
            wait.done().accept(new Changes(Changes.Outcome.CURRENT, List.of(), version));
          });
    }
  }

  private long turnMillis(Transaction change) {
    transactions++;
    String part =
        Stream.concat(change.writes().keySet().stream(), change.removals().stream())
            .map(RowKey::part)
            .findFirst()
            .orElse("");
    long now = self.now().mono();
    long end = Math.max(now, partFreeMillis.getOrDefault(part, 0L)) + transactionMillis;
    partFreeMillis.put(part, end);
    return end - now;
  }

  private CommitResult apply(Transaction change) {
    boolean holds =
        change.expected().entrySet().stream().allMatch(e -> versionOf(e.getKey()) == e.getValue());
    if (!holds) {
      List<Row> current = change.expected().keySet().stream().map(rows::get).toList();
      return new CommitResult(
          CommitResult.Outcome.CONFLICT,
          0,
          current.stream().filter(Objects::nonNull).toList(),
          clock());
    }
    version++;
    change.writes().forEach((at, value) -> put(new Row(at, value, version, false)));
    change.removals().forEach(at -> put(new Row(at, Payload.EMPTY, version, true)));
    List.copyOf(waiting).forEach(this::tell);
    return new CommitResult(CommitResult.Outcome.DONE, version, List.of(), clock());
  }

  /** The store's own steady clock: it began long before the instances. */
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

  private void tell(Waiting wait) {
    List<Row> news =
        history.stream()
            .filter(row -> row.at().table().equals(wait.table()) && row.version() > wait.after())
            .toList();
    if (!news.isEmpty()) {
      waiting.remove(wait);
      wait.done().accept(new TableStore.Changes(TableStore.Changes.Outcome.CURRENT, news, version));
    }
  }
}
