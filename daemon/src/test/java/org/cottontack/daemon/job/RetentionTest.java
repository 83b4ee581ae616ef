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

  private static final class Lab {
    final VirtualTimers time = new VirtualTimers();
    final FakeTableStore store = new FakeTableStore(time);
    final VirtualTimers.View process = time.process();
    final TableStore seen = store.seenBy(process, call -> true);
    final Retention retention = new Retention(seen, process, KEEP_MILLIS);

    Lab() {
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
      seen.commit(change, 1_000, answer -> {});
    }

    boolean has(String table, String id) {
      return store.table(table).containsKey(id);
    }
  }

  /** When rows go. */
  public static class Removing {

    @Test
    public void keepsStatesForTheirTimeAndNoLonger() {
      Lab lab = new Lab();
      lab.job("ended");
      lab.job("running");
      lab.retention.ended(new JobId("ended"));
      lab.time.run(KEEP_MILLIS - 1_000);
      assertTrue(lab.has(JobTables.JOBS, "ended"));
      lab.time.run(10_000);
      assertFalse(lab.has(JobTables.JOBS, "ended"));
      assertFalse(lab.has(JobTables.CANCELS, "ended"));
      assertFalse(lab.has(JobTables.PROGRESS, "ended"));
      assertTrue(lab.has(JobTables.JOBS, "running"));
    }

    /**
     * The leader dies after one of two removals. Were the progress gone and the job still there,
     * the next leader would run a job again that its caller was told is complete.
     */
    @Test
    public void neverLeavesJobsWithoutTheirProgress() {
      Lab lab = new Lab();
      lab.job("ended");
      lab.retention.ended(new JobId("ended"));
      lab.store.fate =
          change -> {
            lab.process.killed = true;
            return FakeTableStore.Fate.GOOD;
          };
      lab.time.run(KEEP_MILLIS + 10_000);
      assertFalse(lab.has(JobTables.JOBS, "ended"));
      assertTrue(lab.has(JobTables.PROGRESS, "ended"));
    }

    /**
     * Jobs end as fast as the largest users submit them, 28 a second. Their rows go as fast;
     * otherwise each takeover would still read more than the one before.
     */
    @Test
    public void keepsUpWithManyJobs() {
      Lab lab = new Lab();
      for (int i = 0; i < 280; i++) {
        lab.job("job" + i);
        lab.retention.ended(new JobId("job" + i));
      }
      lab.time.run(KEEP_MILLIS + 10_000);
      assertEquals(lab.store.table(JobTables.JOBS).size(), 0);
      assertEquals(lab.store.table(JobTables.PROGRESS).size(), 0);
    }

    /** The store refuses and loses answers for a while; the rows go all the same in the end. */
    @Test
    public void triesAgain() {
      Lab lab = new Lab();
      lab.job("ended");
      lab.retention.ended(new JobId("ended"));
      int[] calls = {0};
      lab.store.fate =
          change -> {
            calls[0]++;
            return calls[0] == 1
                ? FakeTableStore.Fate.REFUSED
                : calls[0] == 2 ? FakeTableStore.Fate.ANSWER_LOST : FakeTableStore.Fate.GOOD;
          };
      lab.time.run(KEEP_MILLIS + 30_000);
      assertFalse(lab.has(JobTables.JOBS, "ended"));
      assertFalse(lab.has(JobTables.PROGRESS, "ended"));
      assertEquals(calls[0], 4);
    }
  }

  /** Rows of cancellations that came before their job. */
  public static class Orphans {

    private static final RowKey AT = JobTables.cancel(new JobId("orphan"));

    /** Writes such a row and tells it as a follower does. */
    private static void write(Lab lab, RowKey at) {
      Transaction change = new Transaction(Map.of(), Map.of(at, Payload.of("0")), List.of());
      lab.seen.commit(
          change,
          1_000,
          answer -> lab.retention.orphan(new Row(at, Payload.of("0"), answer.version(), false)));
      lab.time.run(20);
    }

    /**
     * Guards against rows that stay for good, and against ones that go before a late submission.
     */
    @Test
    public void staysForItsTimeAndNoLonger() {
      Lab lab = new Lab();
      write(lab, AT);
      lab.time.run(KEEP_MILLIS - 1_000);
      assertTrue(lab.has(JobTables.CANCELS, "orphan"));
      lab.time.run(10_000);
      assertFalse(lab.has(JobTables.CANCELS, "orphan"));
    }

    /** Guards against a repeated cancellation whose row goes with the time of the first. */
    @Test
    public void countsFromTheLastCancellation() {
      Lab lab = new Lab();
      write(lab, AT);
      lab.time.run(KEEP_MILLIS - 1_000);
      write(lab, AT);
      lab.time.run(KEEP_MILLIS - 1_000);
      assertTrue(lab.has(JobTables.CANCELS, "orphan"));
      lab.time.run(10_000);
      assertFalse(lab.has(JobTables.CANCELS, "orphan"));
    }

    /** Guards against a late removal that takes the cancellation of a job submitted since. */
    @Test
    public void removesNothingThatWasWrittenSince() {
      Lab lab = new Lab();
      write(lab, AT);
      write(lab, JobTables.cancel(new JobId("other")));
      lab.time.run(KEEP_MILLIS - 1_000);
      lab.write(AT);
      lab.time.run(20_000);
      assertTrue(lab.has(JobTables.CANCELS, "orphan"));
      assertFalse(lab.has(JobTables.CANCELS, "other"));
    }

    /** Guards against rows that stay since one removal was refused or had no answer. */
    @Test
    public void triesAgain() {
      Lab lab = new Lab();
      write(lab, AT);
      List<FakeTableStore.Fate> fates =
          new ArrayList<>(
              List.of(
                  FakeTableStore.Fate.REFUSED,
                  FakeTableStore.Fate.LATE,
                  FakeTableStore.Fate.ANSWER_LOST));
      lab.store.fate = change -> fates.isEmpty() ? FakeTableStore.Fate.GOOD : fates.remove(0);
      lab.time.run(KEEP_MILLIS + 30_000);
      assertFalse(lab.has(JobTables.CANCELS, "orphan"));
      assertTrue(fates.size() <= 1);
    }

    /** Guards against rows that pile up when somebody cancels what was never submitted. */
    @Test
    public void keepsUpWithManyCancellations() {
      Lab lab = new Lab();
      IntStream.range(0, 3_000).forEach(i -> write(lab, JobTables.cancel(new JobId("id" + i))));
      lab.time.run(KEEP_MILLIS + 10_000);
      assertEquals(lab.store.table(JobTables.CANCELS).size(), 0);
    }
  }
}
