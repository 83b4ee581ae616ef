package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.job.JobEffect;
import org.cottontack.core.job.JobId;
import org.cottontack.core.job.ProgressRowId;
import org.cottontack.core.job.RecoveryFacts;
import org.cottontack.core.job.RunKey;
import org.cottontack.core.job.StartExpiry;
import org.cottontack.core.job.StoredProgress;
import org.cottontack.core.job.TaskName;
import org.cottontack.core.job.WorkerIncarnation;
import org.cottontack.core.peer.Payload;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of what one leader stores for the next. */
public class ProgressStoreTest {

  private static final Map<WorkerIncarnation, Long> ENDS =
      Map.of(WorkerIncarnation.withUniqueIdentifier(new WorkerId("w")), 9_000L);

  private static final JobEffect.SaveProgress NOTHING =
      new JobEffect.SaveProgress(Map.of(), Set.of(), "", Optional.empty());

  private static final ProgressStore.Listener IGNORED =
      new ProgressStore.Listener() {
        @Override
        public void saved() {}

        @Override
        public void refused() {}
      };

  /** Leaders that follow each other over one store. */
  private static final class Leaders {

    final VirtualTimers time = new VirtualTimers();
    final FakeTableStore store = new FakeTableStore(time);
    final List<String> deposed = new ArrayList<>();

    /** The calls that leaders which take over may use. */
    Predicate<String> readable = call -> true;

    private long epoch;
    private ProgressStore progress;
    private ProgressStore.Found found;

    ProgressStore.Found next() {
      return next(200);
    }

    /** Lets the next leader take over, and runs for some time. */
    ProgressStore.Found next(long millis) {
      epoch++;
      VirtualTimers.View process = time.process();
      WatchedStore watched =
          new WatchedStore(store.seenBy(process, call -> readable.test(call)), process);
      progress = new ProgressStore(watched, process, epoch, deposed::add);
      progress.takeOver(read -> found = read);
      time.run(millis);
      return found;
    }

    /** Lets a leader of another version take over, which writes other rows. */
    void nextOfOlderVersion(Map<RowKey, Payload> rows) {
      epoch++;
      Map<RowKey, Payload> writes = new HashMap<>(rows);
      writes.put(JobTables.FENCE, Payload.of(epoch + " 0"));
      store
          .seenBy(time.process(), call -> true)
          .commit(new Transaction(Map.of(), writes, List.of()), 1_000, result -> {});
      time.run(100);
    }

    void save(Map<WorkerIncarnation, Long> ends) {
      save(new RecoveryFacts(ends, Map.of(), OptionalLong.empty()));
    }

    void save(RecoveryFacts facts) {
      progress.save(NOTHING, Optional.of(facts), IGNORED);
      time.run(200);
    }
  }

  /** Starts in doubt and ignored starts. */
  public static class StoredStarts {

    private static final RecoveryFacts FACTS =
        new RecoveryFacts(
            ENDS,
            Map.of(new RunKey(TaskName.parse("a.0.1.2"), 3), new StartExpiry(8_500, 12_000)),
            OptionalLong.of(700));

    /** Guards against facts that are lost with leaders that end before they save anything. */
    @Test
    public void outlastLeadersThatSaveNothing() {
      Leaders leaders = new Leaders();
      leaders.next();
      leaders.save(FACTS);
      leaders.next();
      leaders.next();
      assertEquals(leaders.next().facts(), FACTS);
    }

    /** Guards against ignored starts that are lost because no worker is unreachable. */
    @Test
    public void outlastLeadersWithoutLeaseEnds() {
      Leaders leaders = new Leaders();
      leaders.next();
      RecoveryFacts ignored = new RecoveryFacts(Map.of(), Map.of(), OptionalLong.of(700));
      leaders.save(ignored);
      leaders.next();
      assertEquals(leaders.next().facts(), ignored);
    }

    /**
     * Guards against expiries that were true before a leader of an older version sent those starts
     * again; orders were late all the same.
     */
    @Test
    public void areNotUsedAfterLeadersOfOlderVersions() {
      Leaders leaders = new Leaders();
      leaders.next();
      leaders.save(FACTS);
      leaders.nextOfOlderVersion(Map.of());
      RecoveryFacts ignored = new RecoveryFacts(Map.of(), Map.of(), OptionalLong.of(700));
      assertEquals(leaders.next().facts(), ignored);
      assertEquals(leaders.next().facts(), ignored);
    }

    /** Guards against expiries that are taken for those of a leader that wrote lease ends only. */
    @Test
    public void areDroppedByLeadersThatRewriteLeaseEndsOnly() {
      Leaders leaders = new Leaders();
      leaders.next();
      leaders.save(FACTS);
      leaders.nextOfOlderVersion(Map.of(JobTables.LEASE_ENDS, Payload.of("2\nw 0 9000")));
      assertEquals(leaders.next().facts(), new RecoveryFacts(ENDS, Map.of(), OptionalLong.empty()));
    }
  }

  /** Saves over a store that fails, loses or delays transactions. */
  public static class UnreliableStores {

    private static final JobId JOB = new JobId("a");
    private static final FakeTableStore.CommitBehaviour[] BEHAVIOURS = {
      FakeTableStore.CommitBehaviour.GOOD,
      FakeTableStore.CommitBehaviour.REFUSED,
      FakeTableStore.CommitBehaviour.FAILED,
      FakeTableStore.CommitBehaviour.ANSWER_LOST,
      FakeTableStore.CommitBehaviour.LATE
    };

    /** Seeds. */
    @DataProvider
    public Object[][] seeds() {
      return IntStream.range(0, 40).mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
    }

    /** Guards against a save that is reported as stored and is not, or the other way round. */
    @Test(dataProvider = "seeds")
    public void storeExactlyWhatTheyReport(int seed) {
      final Leaders leaders = new Leaders();
      final Random random = new Random(seed);
      leaders.next();
      leaders.store.commitBehaviour =
          change -> {
            leaders.store.lateMillis = 50L + random.nextInt(4_000);
            boolean good = random.nextInt(10) < 3;
            return good
                ? FakeTableStore.CommitBehaviour.GOOD
                : BEHAVIOURS[random.nextInt(BEHAVIOURS.length)];
          };
      String stored = null;
      for (int i = 0; i < 20; i++) {
        String text = "r" + i;
        List<Boolean> ended = new ArrayList<>();
        leaders.progress.save(
            new JobEffect.SaveProgress(
                Map.of(ProgressRowId.main(JOB), text), Set.of(), "", Optional.empty()),
            Optional.empty(),
            listener(ended));
        while (ended.isEmpty()) {
          leaders.time.run(10);
        }
        stored = ended.get(0) ? text : stored;
        assertEquals(leaders.store.table(JobTables.PROGRESS).get(JOB.value()), stored);
        leaders.time.run(random.nextInt(5) == 0 ? 5_000 : 0);
        assertEquals(leaders.store.table(JobTables.PROGRESS).get(JOB.value()), stored);
        assertEquals(ended.size(), 1);
      }
      assertEquals(leaders.deposed, List.of());
    }

    private static ProgressStore.Listener listener(List<Boolean> ended) {
      return new ProgressStore.Listener() {
        @Override
        public void saved() {
          ended.add(true);
        }

        @Override
        public void refused() {
          ended.add(false);
        }
      };
    }
  }

  /** Ends of leases of unreachable workers. */
  public static class StoredEnds {

    @Test
    public void reachTheNextLeader() {
      Leaders leaders = new Leaders();
      assertEquals(leaders.next().facts().leaseEnds(), Map.of());
      leaders.save(ENDS);
      assertEquals(leaders.next().facts().leaseEnds(), ENDS);
    }

    /** Guards against ends that are lost with leaders that end before they save anything. */
    @Test
    public void outlastLeadersThatSaveNothing() {
      Leaders leaders = new Leaders();
      leaders.next();
      leaders.save(ENDS);
      leaders.next();
      leaders.next();
      assertEquals(leaders.next().facts().leaseEnds(), ENDS);
    }

    @Test
    public void areWithdrawn() {
      Leaders leaders = new Leaders();
      leaders.next();
      leaders.save(ENDS);
      leaders.next();
      leaders.save(Map.of());
      assertEquals(leaders.next().facts().leaseEnds(), Map.of());
    }

    /**
     * Guards against ends that were true before a leader of an older version renewed the leases
     * without withdrawing them.
     */
    @Test
    public void areNotUsedAfterLeadersOfOlderVersions() {
      Leaders leaders = new Leaders();
      leaders.next();
      leaders.save(ENDS);
      leaders.nextOfOlderVersion(Map.of());
      assertEquals(leaders.next().facts().leaseEnds(), Map.of());
      assertEquals(leaders.next().facts().leaseEnds(), Map.of());
    }

    /** Guards against a leader that withdraws ends after its successor has read them. */
    @Test
    public void areNotChangedByFormerLeaders() {
      Leaders leaders = new Leaders();
      leaders.next();
      leaders.save(ENDS);
      final ProgressStore former = leaders.progress;
      assertEquals(leaders.next().facts().leaseEnds(), ENDS);
      former.save(NOTHING, Optional.of(RecoveryFacts.NONE), IGNORED);
      leaders.time.run(200);
      assertFalse(leaders.deposed.isEmpty());
      assertEquals(leaders.next().facts().leaseEnds(), ENDS);
    }
  }

  /** Takeovers while the former leader goes on saving. */
  public static class Takeovers {

    private static final JobId JOB = new JobId("0123456789abcdef");
    private static final ProgressRowId MAIN = ProgressRowId.main(JOB);
    private static final ProgressRowId PART = new ProgressRowId(JOB, 1);

    /** Latency of a read and of a transaction in a store that is 60 times slower than usual. */
    private static final long SLOW_READ_MILLIS = 240;

    private static final long SLOW_TRANSACTION_MILLIS = 480;

    private Leaders leaders;
    private List<String> acknowledged;

    /** Starts with an empty store. */
    @BeforeMethod
    public void begin() {
      leaders = new Leaders();
      acknowledged = new ArrayList<>();
    }

    /** The table that is read late, and whether the former leader has stored the job before. */
    @DataProvider
    public Object[][] reads() {
      return new Object[][] {
        {JobTables.PROGRESS, true},
        {JobTables.PROGRESS, false},
        {JobTables.PROGRESS_TASKS, true},
        {JobTables.PROGRESS_TASKS, false},
      };
    }

    /**
     * Guards against a takeover that reads one table before a save of the former leader and the
     * other one after it.
     */
    @Test(dataProvider = "reads")
    public void knowEverySaveThatIsStored(String lateTable, boolean storedBefore) {
      for (long delayMillis = 0; delayMillis <= 400; delayMillis += 5) {
        begin();
        takeOverWhileSaving(lateTable, storedBefore, delayMillis);
      }
    }

    private void takeOverWhileSaving(String lateTable, boolean storedBefore, long delayMillis) {
      leaders.next();
      final ProgressStore former = leaders.progress;
      if (storedBefore) {
        save(former, "old");
        leaders.time.run(100);
      }
      leaders.found = null;
      leaders.store.extraReadMillis = call -> call.equals("scan " + lateTable) ? 160 : 0;
      leaders.store.extraLatencyMillis = call -> call.equals("scan " + lateTable) ? 0 : 160;
      leaders.time.process().after(delayMillis, () -> save(former, "new"));
      final ProgressStore.Found found = leaders.next(2_000);
      assertNotNull(found, "the takeover does not end");
      StoredProgress read = found.jobs().get(JOB);
      if (acknowledged.contains("new")) {
        assertNotNull(read, "the job is unknown, delay " + delayMillis);
        assertEquals(read.main(), "main new", "delay " + delayMillis);
        assertEquals(read.parts(), Map.of(1, "part new"), "delay " + delayMillis);
      } else if (storedBefore) {
        assertEquals(read.main(), "main old", "delay " + delayMillis);
        assertEquals(read.parts(), Map.of(1, "part old"), "delay " + delayMillis);
      } else {
        assertEquals(found.jobs(), Map.of(), "delay " + delayMillis);
      }
    }

    private void save(ProgressStore store, String content) {
      store.save(
          new JobEffect.SaveProgress(
              Map.of(MAIN, "main " + content, PART, "part " + content),
              Set.of(),
              "",
              Optional.empty()),
          Optional.empty(),
          new ProgressStore.Listener() {
            @Override
            public void saved() {
              acknowledged.add(content);
            }

            @Override
            public void refused() {}
          });
    }

    /**
     * Guards against facts that are lost with a leader that ends between its claim and its read.
     */
    @Test
    public void keepFactsThroughClaimsThatLeadToNothing() {
      leaders.next();
      leaders.save(StoredStarts.FACTS);
      leaders.found = null;
      leaders.readable = call -> !call.equals("scan " + JobTables.PROGRESS_TASKS);
      assertNull(leaders.next());
      assertNull(leaders.next());
      leaders.readable = call -> true;
      assertEquals(leaders.next().facts(), StoredStarts.FACTS);
    }

    /** Guards against a leader that begins with rows which its successor has already changed. */
    @Test
    public void endWhereNewerLeaderClaimsBeforeTheRead() {
      leaders.next();
      leaders.found = null;
      // The claim is sent after 10 ms and stored after 20 ms.
      leaders.next(15);
      leaders.store.extraReadMillis = call -> 300;
      leaders.time.run(50);
      leaders.nextOfOlderVersion(Map.of());
      leaders.time.run(1_000);
      assertNull(leaders.found);
      assertEquals(leaders.deposed, List.of("a newer leader has taken over"));
    }

    /**
     * Guards against a takeover that begins again without end while a former leader saves: in the
     * slowest store it lasts no longer than a claim and a read after the last save.
     */
    @Test
    public void endSoonAfterTheLastSaveInSlowStore() {
      leaders.next();
      leaders.store.readMillis = SLOW_READ_MILLIS;
      leaders.store.transactionMillis = SLOW_TRANSACTION_MILLIS;
      long[] lastSaveMillis = {0};
      saveUntil(leaders.progress, leaders.time.process(), 1_500, lastSaveMillis);
      leaders.found = null;
      final int before = leaders.store.transactions;
      leaders.next(0);
      while (leaders.found == null && leaders.time.process().now().mono() < 20_000) {
        leaders.time.run(10);
      }
      assertNotNull(leaders.found);
      long tookMillis = leaders.time.process().now().mono() - lastSaveMillis[0];
      long attemptMillis = SLOW_READ_MILLIS + SLOW_TRANSACTION_MILLIS;
      assertTrue(tookMillis <= 2 * attemptMillis + SLOW_READ_MILLIS, tookMillis + " ms");
      assertTrue(leaders.store.transactions - before <= 10, "transactions without end");
    }

    private void saveUntil(
        ProgressStore former, VirtualTimers.View process, long untilMillis, long[] lastSaveMillis) {
      former.save(
          NOTHING,
          Optional.empty(),
          new ProgressStore.Listener() {
            @Override
            public void saved() {
              lastSaveMillis[0] = process.now().mono();
              if (lastSaveMillis[0] < untilMillis) {
                saveUntil(former, process, untilMillis, lastSaveMillis);
              }
            }

            @Override
            public void refused() {}
          });
    }
  }

  /** Rows that another program wrote. */
  public static class ForeignRows {

    private static final JobId JOB = new JobId("0123456789abcdef");

    /** Tables, and keys that name no job. */
    @DataProvider
    public Object[][] keys() {
      return new Object[][] {
        {JobTables.PROGRESS, ""},
        {JobTables.PROGRESS, " "},
        {JobTables.PROGRESS, "\n"},
        {JobTables.PROGRESS_TASKS, ""},
        {JobTables.PROGRESS_TASKS, " /1"},
        {JobTables.PROGRESS_TASKS, "/1"},
      };
    }

    /** Guards against a row that keeps every instance from ever leading. */
    @Test(dataProvider = "keys")
    public void areSkipped(String table, String key) {
      Leaders leaders = new Leaders();
      leaders.store.writeAll(
          Map.of(
              new RowKey(table, JobTables.PROGRESS_PART, key),
              Payload.of("odd"),
              JobTables.progress(JOB),
              Payload.of("1")));
      ProgressStore.Found found = leaders.next();
      assertNotNull(found, "the takeover does not end");
      assertEquals(found.jobs().keySet(), Set.of(JOB));
      assertEquals(found.stray(), Map.of());
    }
  }
}
