package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.job.JobEffect;
import org.cottontack.core.job.JobId;
import org.cottontack.core.job.ProgressRowId;
import org.cottontack.core.job.RecoveryFacts;
import org.cottontack.core.job.RunKey;
import org.cottontack.core.job.StartExpiry;
import org.cottontack.core.job.TaskName;
import org.cottontack.core.job.WorkerIncarnation;
import org.cottontack.core.peer.Payload;
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
    private long epoch;
    private ProgressStore progress;
    private ProgressStore.Found found;

    ProgressStore.Found next() {
      epoch++;
      VirtualTimers.View process = time.process();
      WatchedStore watched = new WatchedStore(store.seenBy(process, call -> true), process);
      progress = new ProgressStore(watched, process, epoch, deposed::add);
      progress.takeOver(read -> found = read);
      time.run(200);
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
