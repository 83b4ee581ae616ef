package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.job.ProgressText;
import org.cottontack.core.job.WorkerIncarnation;
import org.testng.annotations.Test;

/** Tests of the text of the row with the ends of leases. */
public class LeaseEndsTextTest {

  private static final WorkerIncarnation WORKER =
      new WorkerIncarnation(new WorkerId("i-1 of\n2"), 1_700_000_000_000L);

  /** Texts written by this version. */
  public static class Own {

    @Test
    public void readsWhatItWrites() {
      WorkerIncarnation other = WorkerIncarnation.withUniqueIdentifier(new WorkerId("i-3"));
      LeaseEndsText text = new LeaseEndsText(7, Map.of(WORKER, 9_000L, other, 12_345L));
      assertEquals(LeaseEndsText.parse(text.text()), text);
      LeaseEndsText empty = new LeaseEndsText(7, Map.of());
      assertEquals(LeaseEndsText.parse(empty.text()), empty);
    }

    /** Guards against an older version that takes the row for the progress of a job. */
    @Test
    public void isNoProgressOfAnyJob() {
      assertEquals(ProgressText.readable(new LeaseEndsText(7, Map.of()).text()), false);
      assertEquals(
          ProgressText.readable(new LeaseEndsText(7, Map.of(WORKER, 9_000L)).text()), false);
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
