package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.testng.annotations.Test;

/** Tests of what is known of the store by the calls made to it. */
public class WatchedStoreTest {

  private static final TableStore.Scan ANSWER = new TableStore.Scan(true, List.of(), 1, 1);
  private static final Transaction NOTHING = new Transaction(Map.of(), Map.of(), List.of());

  /** A store that answers when the test says so. */
  private static final class SilentStore implements TableStore {
    final List<Consumer<Scan>> scans = new ArrayList<>();
    final List<Consumer<CommitResult>> commits = new ArrayList<>();

    @Override
    public void commit(Transaction change, long timeoutMillis, Consumer<CommitResult> done) {
      commits.add(done);
    }

    @Override
    public void scan(String table, String part, String prefix, Consumer<Scan> done) {
      scans.add(done);
    }

    @Override
    public void watch(String table, long after, long waitMillis, Consumer<Changes> done) {}
  }

  private static final class Lab {
    final VirtualTimers time = new VirtualTimers();
    final VirtualTimers.View process = time.process();
    final SilentStore store = new SilentStore();
    final WatchedStore watched = new WatchedStore(store, process);
  }

  /** Whether the store serves this instance. */
  public static class Away {

    /** A read gets no answer: after 0.7 s the store counts as away, until it answers again. */
    @Test
    public void tellsSilenceFromService() {
      Lab lab = new Lab();
      lab.watched.probe();
      lab.time.run(600);
      assertFalse(lab.watched.away());
      lab.time.run(400);
      assertTrue(lab.watched.away());
      lab.store.scans.get(0).accept(ANSWER);
      assertFalse(lab.watched.away());
    }

    /** Nobody asks anything, or only for changes that need not come yet: that is no silence. */
    @Test
    public void waitsUntilAnAnswerIsDue() {
      Lab lab = new Lab();
      lab.time.run(5_000);
      assertFalse(lab.watched.away());
      lab.watched.watch("table", 0, 1_000, news -> {});
      lab.time.run(1_400);
      assertFalse(lab.watched.away());
      lab.time.run(600);
      assertTrue(lab.watched.away());
    }

    /**
     * The process is paused for 5 s with a read under way; its answer lies unread. By the clock the
     * store was silent for 5 s, and callers who come first after the pause would be turned away.
     */
    @Test
    public void countsNoPauseAsSilence() {
      Lab lab = new Lab();
      lab.watched.probe();
      lab.process.lateMillis = 5_000;
      lab.time.run(150);
      lab.process.lateMillis = 0;
      lab.time.run(5_100);
      assertFalse(lab.watched.away());
    }

    /** The store turns this instance away, and no other: it serves nothing here, so it is away. */
    @Test
    public void refusalsAreNoService() {
      Lab lab = new Lab();
      lab.watched.commit(NOTHING, 1_000, answer -> {});
      lab.store.commits.get(0).accept(CommitResult.of(CommitResult.Outcome.REFUSED));
      lab.time.run(1_000);
      assertTrue(lab.watched.away());
    }
  }

  /** How long answers are waited for. */
  public static class Patience {

    @Test
    public void followsRecentAnswersAndForgetsThem() {
      Lab lab = new Lab();
      final long usual = lab.watched.patienceMillis();
      lab.watched.probe();
      lab.time.run(300);
      lab.store.scans.get(0).accept(ANSWER);
      assertEquals(lab.watched.patienceMillis(), 1_200);
      lab.time.run(20_000);
      assertEquals(lab.watched.patienceMillis(), usual);
    }
  }
}
