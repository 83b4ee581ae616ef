package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.cottontack.core.job.JobId;
import org.cottontack.core.peer.Payload;
import org.testng.annotations.Test;

/** Tests of the removal of old rows. */
public class RetentionTest {

  private static final long KEEP_MILLIS = 120_000;

  private static final class Simulation {
    final VirtualTimers time = new VirtualTimers();
    final FakeTableStore store = new FakeTableStore(time);
    final VirtualTimers.View process = time.process();
    final TableStore view = store.seenBy(process, call -> true);
    final Retention retention = new Retention(view, process, KEEP_MILLIS);

    Simulation() {
      retention.start();
    }

    void job(String id) {
      JobId job = new JobId(id);
      write(JobTables.job(job));
      write(JobTables.cancel(job));
      write(JobTables.progress(job));
      time.run(20);
    }

    private void write(RowKey row) {
      Transaction change = new Transaction(Map.of(), Map.of(row, Payload.of("x")), List.of());
      view.commit(change, 1_000, result -> {});
    }

    boolean has(String table, String id) {
      return store.table(table).containsKey(id);
    }
  }

  /** Removal of rows of jobs that ended. */
  public static class Removing {

    @Test
    public void keepsStatesForRetentionTimeOnly() {
      Simulation simulation = new Simulation();
      simulation.job("ended");
      simulation.job("running");
      simulation.retention.ended(new JobId("ended"));
      simulation.time.run(KEEP_MILLIS - 1_000);
      assertTrue(simulation.has(JobTables.JOBS, "ended"));
      simulation.time.run(10_000);
      assertFalse(simulation.has(JobTables.JOBS, "ended"));
      assertFalse(simulation.has(JobTables.CANCELS, "ended"));
      assertFalse(simulation.has(JobTables.PROGRESS, "ended"));
      assertTrue(simulation.has(JobTables.JOBS, "running"));
    }

    /**
     * The leader crashes after the first of two removals. If the progress were removed first and
     * the job still existed, the next leader would run a job again that its caller knows to be
     * complete.
     */
    @Test
    public void neverLeavesJobsWithoutTheirProgress() {
      Simulation simulation = new Simulation();
      simulation.job("ended");
      simulation.retention.ended(new JobId("ended"));
      simulation.store.commitBehaviour =
          change -> {
            simulation.process.killed = true;
            return FakeTableStore.CommitBehaviour.GOOD;
          };
      simulation.time.run(KEEP_MILLIS + 10_000);
      assertFalse(simulation.has(JobTables.JOBS, "ended"));
      assertTrue(simulation.has(JobTables.PROGRESS, "ended"));
    }

    /**
     * Jobs end at the highest rate at which users submit them, 28 per second. Their rows must be
     * removed at the same rate; otherwise each takeover would have to read more rows than the
     * previous one.
     */
    @Test
    public void removesManyJobsInTime() {
      Simulation simulation = new Simulation();
      for (int i = 0; i < 280; i++) {
        simulation.job("job" + i);
        simulation.retention.ended(new JobId("job" + i));
      }
      simulation.time.run(KEEP_MILLIS + 10_000);
      assertEquals(simulation.store.table(JobTables.JOBS).size(), 0);
      assertEquals(simulation.store.table(JobTables.PROGRESS).size(), 0);
    }

    /**
     * The store refuses some transactions and loses responses to others; the rows must still be
     * removed in the end.
     */
    @Test
    public void retriesFailedRemovals() {
      Simulation simulation = new Simulation();
      simulation.job("ended");
      simulation.retention.ended(new JobId("ended"));
      int[] calls = {0};
      simulation.store.commitBehaviour =
          change -> {
            calls[0]++;
            return calls[0] == 1
                ? FakeTableStore.CommitBehaviour.REFUSED
                : calls[0] == 2
                    ? FakeTableStore.CommitBehaviour.ANSWER_LOST
                    : FakeTableStore.CommitBehaviour.GOOD;
          };
      simulation.time.run(KEEP_MILLIS + 30_000);
      assertFalse(simulation.has(JobTables.JOBS, "ended"));
      assertFalse(simulation.has(JobTables.PROGRESS, "ended"));
      assertEquals(calls[0], 4);
    }
  }

  /** Rows of cancellations that were stored before their job. */
  public static class UnmatchedCancellations {

    private static final RowKey AT = JobTables.cancel(new JobId("orphan"));

    /**
     * Writes the row of a cancellation without a job and reports it to the retention, as the table
     * watcher does.
     */
    private static void write(Simulation simulation, RowKey at) {
      Transaction change = new Transaction(Map.of(), Map.of(at, Payload.of("0")), List.of());
      simulation.view.commit(
          change,
          1_000,
          result ->
              simulation.retention.addUnmatchedCancellation(
                  new Row(at, Payload.of("0"), result.version(), false)));
      simulation.time.run(20);
    }

    /**
     * Guards against rows that are never removed, and against rows that are removed before a late
     * submission.
     */
    @Test
    public void keepsRowsForRetentionTimeOnly() {
      Simulation simulation = new Simulation();
      write(simulation, AT);
      simulation.time.run(KEEP_MILLIS - 1_000);
      assertTrue(simulation.has(JobTables.CANCELS, "orphan"));
      simulation.time.run(10_000);
      assertFalse(simulation.has(JobTables.CANCELS, "orphan"));
    }

    /**
     * Guards against a repeated cancellation whose row is removed when the retention time of the
     * first cancellation has passed.
     */
    @Test
    public void countsFromTheLatestCancellation() {
      Simulation simulation = new Simulation();
      write(simulation, AT);
      simulation.time.run(KEEP_MILLIS - 1_000);
      write(simulation, AT);
      simulation.time.run(KEEP_MILLIS - 1_000);
      assertTrue(simulation.has(JobTables.CANCELS, "orphan"));
      simulation.time.run(10_000);
      assertFalse(simulation.has(JobTables.CANCELS, "orphan"));
    }

    /**
     * Guards against a late removal that deletes the cancellation of a job submitted in the
     * meantime.
     */
    @Test
    public void keepsRowsWrittenAgain() {
      Simulation simulation = new Simulation();
      write(simulation, AT);
      write(simulation, JobTables.cancel(new JobId("other")));
      simulation.time.run(KEEP_MILLIS - 1_000);
      simulation.write(AT);
      simulation.time.run(20_000);
      assertTrue(simulation.has(JobTables.CANCELS, "orphan"));
      assertFalse(simulation.has(JobTables.CANCELS, "other"));
    }

    /**
     * Guards against rows that are never removed because one removal was refused or had no
     * response.
     */
    @Test
    public void retriesFailedRemovals() {
      Simulation simulation = new Simulation();
      write(simulation, AT);
      List<FakeTableStore.CommitBehaviour> behaviours =
          new ArrayList<>(
              List.of(
                  FakeTableStore.CommitBehaviour.REFUSED,
                  FakeTableStore.CommitBehaviour.LATE,
                  FakeTableStore.CommitBehaviour.ANSWER_LOST));
      simulation.store.commitBehaviour =
          change ->
              behaviours.isEmpty() ? FakeTableStore.CommitBehaviour.GOOD : behaviours.remove(0);
      simulation.time.run(KEEP_MILLIS + 30_000);
      assertFalse(simulation.has(JobTables.CANCELS, "orphan"));
      assertTrue(behaviours.size() <= 1);
    }

    /**
     * Guards against rows that accumulate when many jobs that were never submitted are cancelled.
     */
    @Test
    public void removesManyCancellationsInTime() {
      Simulation simulation = new Simulation();
      IntStream.range(0, 3_000)
          .forEach(i -> write(simulation, JobTables.cancel(new JobId("id" + i))));
      simulation.time.run(KEEP_MILLIS + 10_000);
      assertEquals(simulation.store.table(JobTables.CANCELS).size(), 0);
    }
  }
}
