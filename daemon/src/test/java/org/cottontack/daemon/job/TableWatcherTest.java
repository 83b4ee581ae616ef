package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cottontack.core.Moment;
import org.cottontack.core.peer.Payload;
import org.testng.annotations.Test;

/** Tests of how a follower keeps up with a table in which others write too. */
public class TableWatcherTest {

  private static final String TABLE = "table";

  /** One follower of one table; its listener throws at rows that it is told to choke on. */
  private static final class Lab {
    final VirtualTimers time = new VirtualTimers();
    final FakeTableStore store = new FakeTableStore(time);
    final VirtualTimers.View process = time.process();
    final List<String> told = new ArrayList<>();
    int calls;
    private final TableStore seen =
        store.seenBy(
            process,
            call -> {
              calls += call.startsWith("follow") ? 1 : 0;
              return true;
            });

    void follow() {
      follower().start();
      time.run(200);
    }

    TableWatcher follower() {
      return new TableWatcher(seen, process, TABLE, List.of(""), this::tell, () -> {});
    }

    private void tell(Row row) {
      if (row.text().equals("bad")) {
        throw new IllegalArgumentException("a row that nobody can read");
      }
      told.add(row.key() + "=" + row.text());
    }

    void write(String key, String text) {
      RowKey at = new RowKey(TABLE, "", key);
      Transaction change = new Transaction(Map.of(), Map.of(at, Payload.of(text)), List.of());
      seen.commit(change, 1_000, answer -> {});
      time.run(200);
    }
  }

  /** Tables in which rows change all the time. */
  public static class Batching {

    private static void writeEachTenMillis(Lab lab) {
      for (int i = 0; i < 100; i++) {
        Transaction change =
            new Transaction(
                Map.of(), Map.of(new RowKey(TABLE, "", "k" + i), Payload.of("v")), List.of());
        lab.seen.commit(change, 1_000, answer -> {});
        lab.time.run(10);
      }
      lab.time.run(300);
    }

    /** Guards against a call to the store for each change of a busy table. */
    @Test
    public void asksOnceForManyChanges() {
      Lab lab = new Lab();
      lab.follower().withMinInterval(100).start();
      lab.time.run(200);
      int before = lab.calls;
      writeEachTenMillis(lab);
      assertEquals(lab.told.size(), 100);
      assertTrue(lab.calls - before <= 15, "calls: " + (lab.calls - before));
    }

    /** Without batches each change is told at once. */
    @Test
    public void otherwiseAsksAtOnce() {
      Lab lab = new Lab();
      lab.follow();
      writeEachTenMillis(lab);
      assertEquals(lab.told.size(), 100);
      assertTrue(lab.calls > 50, "calls: " + lab.calls);
    }
  }

  /** How old what was told is, and what it costs to know that. */
  public static class Dating {

    private static final long MILLIS = 60_000;

    /** Returns the questions of a minute. */
    private static long calls(long readMillis, boolean shorter, long leapMillis) {
      Lab lab = new Lab();
      lab.store.readMillis = readMillis;
      lab.store.transactionMillis = 2 * readMillis;
      TableWatcher follower = lab.follower();
      (shorter ? follower.withMaxWait(500) : follower).start();
      lab.time.run(5_000);
      long before = lab.calls;
      lab.process.leapMillis = leapMillis;
      for (long at = 0; at < MILLIS; at += 100) {
        follower.refreshAfterClockJump();
        lab.time.run(100);
      }
      return lab.calls - before;
    }

    /** Guards against questions without a wait where nothing is old. */
    @Test
    public void asksNoMoreThanItsWaitSays() {
      assertEquals(calls(4, false, 0), MILLIS / 1_000);
      assertEquals(calls(4, true, 0), MILLIS / 500);
      assertTrue(calls(240, false, 0) <= MILLIS / 1_240 + 1);
      assertTrue(calls(240, true, 0) <= MILLIS / 740 + 1);
    }

    /** Guards against questions without a wait for as long as the time of day is off. */
    @Test
    public void asksOnceMoreAfterLeaps() {
      for (long leap : new long[] {-3_000, 1_500, 3_000, 3_600_000}) {
        assertTrue(calls(4, false, leap) <= MILLIS / 1_000 + 2);
        assertTrue(calls(4, true, leap) <= MILLIS / 500 + 2);
        assertTrue(calls(240, true, leap) <= MILLIS / 740 + 2);
      }
    }

    /** Guards against answers that are dated by a time of day that has been set since. */
    @Test
    public void knowsNewsSoonAfterLeaps() {
      Lab lab = new Lab();
      TableWatcher follower = lab.follower();
      follower.start();
      lab.time.run(5_300);
      lab.process.leapMillis = 3_000;
      follower.refreshAfterClockJump();
      lab.time.run(200);
      assertTrue(lab.process.now().longestSince(follower.lastRequestSent()) <= 200);
    }

    /** Guards against changes that count as told before they are. */
    @Test
    public void countsAsToldWhatWasTold() {
      Lab lab = new Lab();
      List<Moment> asked = new ArrayList<>();
      TableWatcher[] follower = {null};
      follower[0] =
          new TableWatcher(
              lab.seen,
              lab.process,
              TABLE,
              List.of(""),
              row -> asked.add(follower[0].lastRequestSent()),
              () -> asked.add(follower[0].lastRequestSent()));
      lab.write("a", "v");
      Moment began = lab.process.now();
      follower[0].start();
      lab.time.run(200);
      assertEquals(asked, List.of(TableWatcher.NEVER, began));
      lab.write("b", "v");
      assertEquals(asked, List.of(TableWatcher.NEVER, began, began));
    }
  }

  /** Rows that the listener cannot take. */
  public static class Choking {

    /**
     * Another writer leaves a row that the listener chokes on. The exception ended the follower
     * without a word: the process went on with the table as it was, and saw no change ever after.
     */
    @Test
    public void goesOnAfterRowsThatCannotBeTaken() {
      Lab lab = new Lab();
      lab.follow();
      lab.write("a", "bad");
      lab.write("b", "good");
      lab.write("a", "good");
      assertEquals(lab.told, List.of("b=good", "a=good"));
    }

    /** The same row lies there already when the table is first read: the rows after it are told. */
    @Test
    public void tellsRowsBesideThoseThatCannotBeTaken() {
      Lab lab = new Lab();
      lab.write("a", "bad");
      lab.write("b", "good");
      lab.follow();
      lab.write("c", "good");
      assertEquals(lab.told, List.of("b=good", "c=good"));
    }
  }
}
