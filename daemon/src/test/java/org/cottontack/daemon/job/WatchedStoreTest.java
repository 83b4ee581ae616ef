package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.testng.annotations.Test;

/** Tests of how the store's availability and latency are derived from the calls made to it. */
public class WatchedStoreTest {

  private static final TableStore.Scan RESPONSE = new TableStore.Scan(true, List.of(), 1, 1);
  private static final Transaction NOTHING = new Transaction(Map.of(), Map.of(), List.of());

  /** A store that answers only when the test calls the consumer. */
  private static final class SilentStore implements TableStore {
    final List<Consumer<Scan>> scans = new ArrayList<>();
    final List<Consumer<CommitResult>> commits = new ArrayList<>();

    @Override
    public void commit(Transaction transaction, long timeoutMillis, Consumer<CommitResult> done) {
      commits.add(done);
    }

    @Override
    public void scan(String table, String part, String prefix, Consumer<Scan> done) {
      scans.add(done);
    }

    @Override
    public void watch(String table, long after, long waitMillis, Consumer<Changes> done) {}
  }

  private static final class Simulation {
    final VirtualTimers time = new VirtualTimers();
    final VirtualTimers.View process = time.process();
    final SilentStore store = new SilentStore();
    final WatchedStore watched = new WatchedStore(store, process);
  }

  /** Whether the store serves this instance. */
  public static class Availability {

    /**
     * A read gets no response: after 0.7 s the store counts as unavailable, until it answers again.
     */
    @Test
    public void detectsSilence() {
      Simulation simulation = new Simulation();
      simulation.watched.probe();
      simulation.time.run(600);
      assertFalse(simulation.watched.unavailable());
      simulation.time.run(400);
      assertTrue(simulation.watched.unavailable());
      simulation.store.scans.get(0).accept(RESPONSE);
      assertFalse(simulation.watched.unavailable());
    }

    /**
     * There are no calls in flight, or only waits for changes whose responses are not due yet. That
     * does not count as silence.
     */
    @Test
    public void waitsUntilResponseIsDue() {
      Simulation simulation = new Simulation();
      simulation.time.run(5_000);
      assertFalse(simulation.watched.unavailable());
      simulation.watched.watch("table", 0, 1_000, changes -> {});
      simulation.time.run(1_400);
      assertFalse(simulation.watched.unavailable());
      simulation.time.run(600);
      assertTrue(simulation.watched.unavailable());
    }

    /**
     * The process is paused for 5 s with a read in flight, and has not read its response. By the
     * clock the store was silent for 5 s, and the first callers after the pause would be rejected.
     */
    @Test
    public void ignoresPausesOfTheProcess() {
      Simulation simulation = new Simulation();
      simulation.watched.probe();
      simulation.process.lateMillis = 5_000;
      simulation.time.run(150);
      simulation.process.lateMillis = 0;
      simulation.time.run(5_100);
      assertFalse(simulation.watched.unavailable());
    }

    /**
     * The store refuses calls of this instance only. It serves nothing to this instance, so it
     * counts as unavailable.
     */
    @Test
    public void countsRefusalsAsUnavailable() {
      Simulation simulation = new Simulation();
      simulation.watched.commit(NOTHING, 1_000, result -> {});
      simulation.store.commits.get(0).accept(CommitResult.of(CommitResult.Outcome.REFUSED));
      simulation.time.run(1_000);
      assertTrue(simulation.watched.unavailable());
    }
  }

  /** How long to wait for a response before a call is repeated. */
  public static class RetryTimeout {

    @Test
    public void adaptsToRecentLatencyAndDecays() {
      Simulation simulation = new Simulation();
      final long usual = simulation.watched.retryTimeoutMillis();
      simulation.watched.probe();
      simulation.time.run(300);
      simulation.store.scans.get(0).accept(RESPONSE);
      assertEquals(simulation.watched.retryTimeoutMillis(), 1_200);
      simulation.time.run(20_000);
      assertEquals(simulation.watched.retryTimeoutMillis(), usual);
    }
  }
}
