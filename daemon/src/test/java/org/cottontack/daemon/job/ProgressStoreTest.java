package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.job.JobEffect;
import org.cottontack.core.job.JobId;
import org.cottontack.core.job.ProgressRowId;
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

    void save(Map<WorkerIncarnation, Long> ends) {
      progress.save(NOTHING, Optional.of(ends), IGNORED);
      time.run(200);
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
      assertEquals(leaders.next().leaseEnds(), Map.of());
      leaders.save(ENDS);
      assertEquals(leaders.next().leaseEnds(), ENDS);
    }

    /** Guards against ends that are lost with leaders that end before they save anything. */
    @Test
    public void outlastLeadersThatSaveNothing() {
      Leaders leaders = new Leaders();
      leaders.next();
      leaders.save(ENDS);
      leaders.next();
      leaders.next();
      assertEquals(leaders.next().leaseEnds(), ENDS);
    }

    @Test
    public void areWithdrawn() {
      Leaders leaders = new Leaders();
      leaders.next();
      leaders.save(ENDS);
      leaders.next();
      leaders.save(Map.of());
      assertEquals(leaders.next().leaseEnds(), Map.of());
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
      VirtualTimers.View older = leaders.time.process();
      leaders
          .store
          .seenBy(older, call -> true)
          .commit(
              new Transaction(Map.of(), Map.of(JobTables.FENCE, Payload.of("2 0")), List.of()),
              1_000,
              result -> {});
      leaders.time.run(100);
      leaders.epoch = 2;
      assertEquals(leaders.next().leaseEnds(), Map.of());
      assertEquals(leaders.next().leaseEnds(), Map.of());
    }

    /** Guards against a leader that withdraws ends after its successor has read them. */
    @Test
    public void areNotChangedByFormerLeaders() {
      Leaders leaders = new Leaders();
      leaders.next();
      leaders.save(ENDS);
      final ProgressStore former = leaders.progress;
      assertEquals(leaders.next().leaseEnds(), ENDS);
      former.save(NOTHING, Optional.of(Map.of()), IGNORED);
      leaders.time.run(200);
      assertFalse(leaders.deposed.isEmpty());
      assertEquals(leaders.next().leaseEnds(), ENDS);
    }
  }
}
