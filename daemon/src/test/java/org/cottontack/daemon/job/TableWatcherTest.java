package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cottontack.core.Moment;
import org.cottontack.core.peer.Payload;
import org.testng.annotations.Test;

/** Tests of a watcher of a table in which others write too. */
public class TableWatcherTest {

  private static final String TABLE = "table";

  /** One watcher of one table; its listener throws at rows with the text "bad". */
  private static final class Simulation {
    final VirtualTimers time = new VirtualTimers();
    final FakeTableStore store = new FakeTableStore(time);
    final VirtualTimers.View process = time.process();
    final List<String> delivered = new ArrayList<>();
    int calls;
    private final TableStore seen =
        store.seenBy(
            process,
            call -> {
              calls += call.startsWith("follow") ? 1 : 0;
              return true;
            });

    void startWatcher() {
      newWatcher().start();
      time.run(200);
    }

    TableWatcher newWatcher() {
      return new TableWatcher(seen, process, TABLE, List.of(""), this::deliver, () -> {});
    }

    private void deliver(Row row) {
      if (row.text().equals("bad")) {
        throw new IllegalArgumentException("a row that nobody can read");
      }
      delivered.add(row.key() + "=" + row.text());
    }

    void write(String key, String text) {
      RowKey at = new RowKey(TABLE, "", key);
      Transaction transaction = new Transaction(Map.of(), Map.of(at, Payload.of(text)), List.of());
      seen.commit(transaction, 1_000, result -> {});
      time.run(200);
    }
  }

  /** Tables whose rows change all the time. */
  public static class Batching {

    private static void writeEachTenMillis(Simulation simulation) {
      for (int i = 0; i < 100; i++) {
        Transaction transaction =
            new Transaction(
                Map.of(), Map.of(new RowKey(TABLE, "", "k" + i), Payload.of("v")), List.of());
        simulation.seen.commit(transaction, 1_000, result -> {});
        simulation.time.run(10);
      }
      simulation.time.run(300);
    }

    /** Guards against one call to the store for each change of a busy table. */
    @Test
    public void requestsOnceForManyChanges() {
      Simulation simulation = new Simulation();
      simulation.newWatcher().withMinInterval(100).start();
      simulation.time.run(200);
      int before = simulation.calls;
      writeEachTenMillis(simulation);
      assertEquals(simulation.delivered.size(), 100);
      assertTrue(simulation.calls - before <= 15, "calls: " + (simulation.calls - before));
    }

    /** Without a minimum interval each change is delivered at once. */
    @Test
    public void otherwiseRequestsAtOnce() {
      Simulation simulation = new Simulation();
      simulation.startWatcher();
      writeEachTenMillis(simulation);
      assertEquals(simulation.delivered.size(), 100);
      assertTrue(simulation.calls > 50, "calls: " + simulation.calls);
    }
  }

  /** Age of the delivered rows, and the number of requests needed to keep it low. */
  public static class Freshness {

    private static final long MILLIS = 60_000;

    /** Returns the number of requests in a minute. */
    private static long calls(long readMillis, boolean shortWait, long jumpMillis) {
      Simulation simulation = new Simulation();
      simulation.store.readMillis = readMillis;
      simulation.store.transactionMillis = 2 * readMillis;
      TableWatcher watcher = simulation.newWatcher();
      (shortWait ? watcher.withMaxWait(500) : watcher).start();
      simulation.time.run(5_000);
      long before = simulation.calls;
      simulation.process.clockOffsetMillis = jumpMillis;
      for (long at = 0; at < MILLIS; at += 100) {
        watcher.refreshAfterClockJump();
        simulation.time.run(100);
      }
      return simulation.calls - before;
    }

    /** Guards against requests without a wait while nothing is stale. */
    @Test
    public void requestsNoMoreOftenThanItsWaitAllows() {
      assertEquals(calls(4, false, 0), MILLIS / 1_000);
      assertEquals(calls(4, true, 0), MILLIS / 500);
      assertTrue(calls(240, false, 0) <= MILLIS / 1_240 + 1);
      assertTrue(calls(240, true, 0) <= MILLIS / 740 + 1);
    }

    /** Guards against requests without a wait for as long as the wall clock is wrong. */
    @Test
    public void requestsOnceMoreAfterClockJumps() {
      for (long jump : new long[] {-3_000, 1_500, 3_000, 3_600_000}) {
        assertTrue(calls(4, false, jump) <= MILLIS / 1_000 + 2);
        assertTrue(calls(4, true, jump) <= MILLIS / 500 + 2);
        assertTrue(calls(240, true, jump) <= MILLIS / 740 + 2);
      }
    }

    /** Guards against responses whose age is measured by a wall clock that has been set since. */
    @Test
    public void isFreshSoonAfterClockJumps() {
      Simulation simulation = new Simulation();
      TableWatcher watcher = simulation.newWatcher();
      watcher.start();
      simulation.time.run(5_300);
      simulation.process.clockOffsetMillis = 3_000;
      watcher.refreshAfterClockJump();
      simulation.time.run(200);
      assertTrue(simulation.process.now().longestSince(watcher.lastRequestSent()) <= 200);
    }

    /** Guards against changes that count as delivered before they are. */
    @Test
    public void countsOnlyDeliveredChanges() {
      Simulation simulation = new Simulation();
      List<Moment> requestTimes = new ArrayList<>();
      TableWatcher[] watcher = {null};
      watcher[0] =
          new TableWatcher(
              simulation.seen,
              simulation.process,
              TABLE,
              List.of(""),
              row -> requestTimes.add(watcher[0].lastRequestSent()),
              () -> requestTimes.add(watcher[0].lastRequestSent()));
      simulation.write("a", "v");
      Moment began = simulation.process.now();
      watcher[0].start();
      simulation.time.run(200);
      assertEquals(requestTimes, List.of(TableWatcher.NEVER, began));
      simulation.write("b", "v");
      assertEquals(requestTimes, List.of(TableWatcher.NEVER, began, began));
    }
  }

  /** Rows that make the listener throw. */
  public static class RejectedRows {

    /**
     * Another program writes a row that makes the listener throw. The exception must not end the
     * watcher silently: the process would keep the table as it was, and never see another change.
     */
    @Test
    public void continuesAfterRejectedRows() {
      Simulation simulation = new Simulation();
      simulation.startWatcher();
      simulation.write("a", "bad");
      simulation.write("b", "good");
      simulation.write("a", "good");
      assertEquals(simulation.delivered, List.of("b=good", "a=good"));
    }

    /**
     * The same row is already present when the table is first read: the other rows must still be
     * delivered.
     */
    @Test
    public void deliversOtherRowsBesideRejectedOnes() {
      Simulation simulation = new Simulation();
      simulation.write("a", "bad");
      simulation.write("b", "good");
      simulation.startWatcher();
      simulation.write("c", "good");
      assertEquals(simulation.delivered, List.of("b=good", "c=good"));
    }
  }
}
