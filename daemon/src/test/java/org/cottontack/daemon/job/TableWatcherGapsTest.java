package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.cottontack.core.peer.Payload;
import org.testng.annotations.Test;

/** Tests that a watcher misses no change, whatever the store answers in between. */
public class TableWatcherGapsTest {

  private static final String TABLE = "table";
  private static final List<String> PARTS = List.of("one", "two");

  private static Row row(String part, String key, long version) {
    return new Row(new RowKey(TABLE, part, key), Payload.of("v" + version), version, false);
  }

  private static Row removed(String part, String key, long version) {
    return new Row(new RowKey(TABLE, part, key), Payload.EMPTY, version, true);
  }

  /** A store whose responses the test provides one by one. */
  private static final class ScriptedStore implements TableStore {
    final VirtualTimers time = new VirtualTimers();
    final VirtualTimers.View process = time.process();
    final List<String> delivered = new ArrayList<>();
    final List<String> calls = new ArrayList<>();
    private final Deque<Consumer<Scan>> scans = new ArrayDeque<>();
    private final Deque<Consumer<Changes>> watches = new ArrayDeque<>();
    final TableWatcher watcher =
        new TableWatcher(
            this, process, TABLE, PARTS, this::deliver, () -> delivered.add("current"));

    ScriptedStore() {
      watcher.start();
    }

    private void deliver(Row row) {
      delivered.add(row.key() + (row.removed() ? "-" : "+") + row.version());
    }

    @Override
    public void commit(Transaction transaction, long timeoutMillis, Consumer<CommitResult> done) {
      throw new AssertionError("a watcher writes nothing");
    }

    @Override
    public void scan(String table, String part, String prefix, Consumer<Scan> done) {
      calls.add(part);
      scans.add(done);
    }

    @Override
    public void watch(String table, long after, long waitMillis, Consumer<Changes> done) {
      calls.add("after " + after);
      watches.add(done);
    }

    void answerScan(long version, Row... rows) {
      scans.remove().accept(new Scan(true, List.of(rows), version, 1));
    }

    void failScan() {
      scans.remove().accept(Scan.FAILED);
      time.run(1_000);
    }

    void answerWatch(long version, Row... rows) {
      watches.remove().accept(new Changes(Changes.Outcome.CURRENT, List.of(rows), version));
    }

    void answerWatch(Changes.Outcome outcome) {
      watches.remove().accept(Changes.of(outcome));
      time.run(1_000);
    }
  }

  /** Scans of the whole table. */
  public static class Reading {

    /**
     * Guards against missing a change in a partition that was read while another was still to be
     * read.
     */
    @Test
    public void continuesFromTheOldestScan() {
      ScriptedStore store = new ScriptedStore();
      store.answerScan(5, row("one", "a", 3));
      store.answerScan(9, row("two", "b", 8));
      store.answerWatch(9, row("one", "c", 7), row("two", "b", 8), removed("one", "a", 9));
      assertEquals(store.delivered, List.of("a+3", "b+8", "current", "c+7", "a-9"));
      assertEquals(store.calls, List.of("one", "two", "after 5", "after 9"));
    }

    /**
     * Guards against work that starts with the rows of some partitions while one is unavailable.
     */
    @Test
    public void deliversNothingWhileOnePartitionIsUnavailable() {
      ScriptedStore store = new ScriptedStore();
      store.answerScan(5, row("one", "a", 3));
      store.failScan();
      store.answerScan(6, row("one", "a", 3));
      store.failScan();
      assertEquals(store.delivered, List.of());
      assertTrue(store.watcher.lastContactMillis() < 0);
      store.answerScan(7);
      store.answerScan(7, row("two", "b", 2));
      assertEquals(store.delivered, List.of("b+2", "current"));
    }

    /**
     * Guards against missing rows that were removed, changed or written in changes that the store
     * has discarded.
     */
    @Test
    public void deliversDiscardedChanges() {
      ScriptedStore store = new ScriptedStore();
      store.answerScan(5, row("one", "a", 3), row("one", "b", 4));
      store.answerScan(5);
      store.answerWatch(TableStore.Changes.Outcome.FORGOTTEN);
      final long contact = store.watcher.lastContactMillis();
      store.answerScan(20, row("one", "b", 12), row("one", "c", 13));
      store.failScan();
      assertEquals(store.watcher.lastContactMillis(), contact);
      store.answerScan(21, row("one", "b", 12), row("one", "c", 13));
      store.answerScan(22, row("two", "d", 22));
      store.answerWatch(22, row("two", "d", 22));
      assertEquals(
          store.delivered, List.of("a+3", "b+4", "current", "a-21", "b+12", "c+13", "d+22"));
    }

    /**
     * Guards against losing the removal of a row between the scans of two partitions: the version
     * of the scan is then no higher than that of the row.
     */
    @Test
    public void deliversRemovalsBetweenTwoScans() {
      ScriptedStore store = new ScriptedStore();
      store.answerScan(8);
      store.answerScan(8, row("two", "a", 8));
      store.answerWatch(TableStore.Changes.Outcome.FORGOTTEN);
      store.answerScan(8);
      store.answerScan(9);
      store.answerWatch(9, removed("two", "a", 9));
      assertEquals(store.delivered, List.of("a+8", "current", "a-9"));
    }
  }

  /** Responses to requests for changes. */
  public static class Watching {

    private static ScriptedStore scannedStore() {
      ScriptedStore store = new ScriptedStore();
      store.answerScan(5);
      store.answerScan(5);
      store.calls.clear();
      store.delivered.clear();
      return store;
    }

    /** Guards against a request that skips changes whose response never arrived. */
    @Test
    public void repeatsUnansweredRequests() {
      ScriptedStore store = scannedStore();
      store.answerWatch(TableStore.Changes.Outcome.FAILED);
      store.answerWatch(TableStore.Changes.Outcome.FAILED);
      store.answerWatch(7, row("one", "a", 6));
      assertEquals(store.calls, List.of("after 5", "after 5", "after 7"));
      assertEquals(store.delivered, List.of("a+6"));
    }

    /**
     * Guards against delivering rows again, or reverting them, because of a response with older
     * changes.
     */
    @Test
    public void deliversNoRowOlderThanItsLast() {
      ScriptedStore store = scannedStore();
      store.answerWatch(9, row("one", "a", 9));
      store.answerWatch(7, row("one", "a", 7), removed("one", "a", 8), row("one", "a", 9));
      store.answerWatch(TableStore.Changes.Outcome.FAILED);
      assertEquals(store.delivered, List.of("a+9"));
      assertEquals(store.calls, List.of("after 9", "after 9", "after 9"));
    }

    /** Guards against accepting rows of other partitions. */
    @Test
    public void skipsOtherPartitionsOnly() {
      ScriptedStore store = scannedStore();
      store.answerWatch(8, row("other", "x", 6), row("two", "b", 7), row("other", "y", 8));
      assertEquals(store.delivered, List.of("b+7"));
      assertFalse(store.calls.isEmpty());
    }
  }

  /** Stores with random faults, in virtual time. */
  public static class RandomFaults {

    private static final int SEEDS = 500;
    private static final int WRITES = 150;

    /** Guards against a table that differs from the store once the faults are over. */
    @Test
    public void convergesOnceFaultsEnd() {
      List<Integer> wrong =
          IntStream.range(0, SEEDS)
              .filter(seed -> !new FaultyStore(seed).converges())
              .boxed()
              .toList();
      assertEquals(wrong, List.of(), "seeds of " + SEEDS);
    }
  }

  /** A store that answers late, not at all, or has discarded changes; and one watcher. */
  private static final class FaultyStore implements TableStore {
    final VirtualTimers time = new VirtualTimers();
    private final FakeTableStore store = new FakeTableStore(time);
    private final VirtualTimers.View process = time.process();
    private final TableStore faultless = store.seenBy(process, call -> true);
    private final Random random;
    private final Map<String, String> mirror = new TreeMap<>();
    private final Map<String, Long> versions = new HashMap<>();
    private boolean ordered = true;
    private boolean faultsOver;

    FaultyStore(int seed) {
      random = new Random(seed);
      new TableWatcher(this, process, TABLE, PARTS, this::deliver, () -> {}).start();
    }

    boolean converges() {
      for (int i = 0; i < RandomFaults.WRITES; i++) {
        write("k" + random.nextInt(20), "v" + i);
        time.run(random.nextInt(200));
      }
      faultsOver = true;
      time.run(10_000);
      return ordered && mirror.equals(store.table(TABLE));
    }

    private void write(String key, String text) {
      RowKey at = new RowKey(TABLE, PARTS.get(Math.floorMod(key.hashCode(), 2)), key);
      boolean removal = random.nextInt(4) == 0;
      faultless.commit(
          removal
              ? new Transaction(Map.of(), Map.of(), List.of(at))
              : new Transaction(Map.of(), Map.of(at, Payload.of(text)), List.of()),
          1_000,
          result -> {});
    }

    private void deliver(Row row) {
      Long before = versions.put(row.key(), row.version());
      ordered &= before == null || before < row.version();
      if (row.removed()) {
        mirror.remove(row.key());
      } else {
        mirror.put(row.key(), row.text());
      }
    }

    @Override
    public void commit(Transaction transaction, long timeoutMillis, Consumer<CommitResult> done) {
      throw new AssertionError("a watcher writes nothing");
    }

    private boolean faultOccurs(int percent) {
      return !faultsOver && random.nextInt(100) < percent;
    }

    private void later(Runnable call) {
      process.after(faultsOver ? 0 : random.nextInt(150), call);
    }

    @Override
    public void scan(String table, String part, String prefix, Consumer<Scan> done) {
      if (faultOccurs(20)) {
        later(() -> done.accept(Scan.FAILED));
        return;
      }
      later(() -> faultless.scan(table, part, prefix, scan -> later(() -> done.accept(scan))));
    }

    @Override
    public void watch(String table, long after, long waitMillis, Consumer<Changes> done) {
      if (faultOccurs(15)) {
        later(() -> done.accept(Changes.of(Changes.Outcome.FORGOTTEN)));
        return;
      }
      boolean lost = faultOccurs(20);
      faultless.watch(
          table,
          after,
          waitMillis,
          changes -> later(() -> done.accept(lost ? Changes.of(Changes.Outcome.FAILED) : changes)));
    }
  }
}
