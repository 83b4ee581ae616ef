package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.job.StoreLimits;
import org.cottontack.core.job.StoredProgress;
import org.cottontack.core.job.WorkerIncarnation;
import org.testng.annotations.Test;

/** Tests of the text of the row with the ends of leases. */
public class LeaseEndsTextTest {

  private static final int MAX_BYTES = StoreLimits.STANDARD.sharedRowBytes();

  private static final WorkerIncarnation WORKER =
      new WorkerIncarnation(new WorkerId("i-1 of\n2"), 1_700_000_000_000L);

  /** Texts written by this version. */
  public static class Own {

    @Test
    public void readsWhatItWrites() {
      WorkerIncarnation other = WorkerIncarnation.withUniqueIdentifier(new WorkerId("i-3"));
      LeaseEndsText text = new LeaseEndsText(7, Map.of(WORKER, 9_000L, other, 12_345L));
      assertEquals(LeaseEndsText.parse(text.text(MAX_BYTES)), text);
      LeaseEndsText empty = new LeaseEndsText(7, Map.of());
      assertEquals(LeaseEndsText.parse(empty.text(MAX_BYTES)), empty);
    }

    /** Guards against a row that the store refuses, so that no progress is stored any more. */
    @Test
    public void leavesOutEndsThatDoNotFit() {
      Map<WorkerIncarnation, Long> ends =
          IntStream.range(0, 5_000)
              .boxed()
              .collect(
                  Collectors.toMap(
                      number -> WorkerIncarnation.withUniqueIdentifier(new WorkerId("i-" + number)),
                      number -> 9_000L));
      String text = new LeaseEndsText(7, ends).text(MAX_BYTES);
      assertTrue(text.length() <= MAX_BYTES);
      Map<WorkerIncarnation, Long> read = LeaseEndsText.parse(text).ends();
      assertTrue(read.size() > 1_000 && ends.entrySet().containsAll(read.entrySet()));
    }

    /** Guards against an older version that takes the row for the progress of a job. */
    @Test
    public void isNoProgressOfAnyJob() {
      assertEquals(
          StoredProgress.of(new LeaseEndsText(7, Map.of()).text(MAX_BYTES)).readable(), false);
      assertEquals(
          StoredProgress.of(new LeaseEndsText(7, Map.of(WORKER, 9_000L)).text(MAX_BYTES))
              .readable(),
          false);
    }
  }

  /** Texts of other versions. */
  public static class Foreign {

    @Test
    public void readsNoEndsFromAnotherForm() {
      assertEquals(LeaseEndsText.parse("").ends(), Map.of());
      assertEquals(LeaseEndsText.parse("v2 7\ni-3 0 5").ends(), Map.of());
      assertEquals(LeaseEndsText.parse("7\ni-3 0 5 more\ni-3 0\ni-3 0 -5").ends(), Map.of());
      assertEquals(LeaseEndsText.parse("7\n%zz 0 5").ends(), Map.of());
    }
  }
}
