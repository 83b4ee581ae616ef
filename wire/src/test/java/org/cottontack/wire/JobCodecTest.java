package org.cottontack.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.cottontack.core.job.JobId;
import org.cottontack.core.job.JobQueue;
import org.cottontack.core.job.JobSpec;
import org.cottontack.core.job.Resources;
import org.cottontack.core.job.StepSpec;
import org.testng.annotations.Test;

/** Tests {@link JobCodec}. */
public class JobCodecTest {

  /**
   * Guards against a job that waits forever. A row may have lost its value, or the store could not
   * decode it. An empty byte array is a valid protobuf message and would be read as a job without
   * steps, which never ends.
   */
  @Test
  public void rejectsEmptyBytes() {
    assertThrows(WireException.class, () -> JobCodec.read(new JobId("a"), new byte[0]));
  }

  /** Jobs that are too large for a row without compression. */
  public static class LargeJobs {

    private static final JobId ID = new JobId("a");
    private static final int MAX_BYTES = 65_536;

    private static JobSpec job(int steps) {
      JobQueue queue = new JobQueue("queue", "host", "/jobs/", "pool", 0, 2, 1.5, 250, false);
      List<StepSpec> all =
          IntStream.range(0, steps)
              .mapToObj(
                  i ->
                      new StepSpec(
                          1,
                          new Resources(500 + i, 64, 0),
                          900,
                          IntStream.range(0, i % 50).boxed().toList(),
                          List.of(),
                          Optional.empty(),
                          Optional.empty(),
                          0,
                          "",
                          0,
                          0))
              .toList();
      return new JobSpec(ID, queue, "payload", all, JobSpec.Schedule.AT_ONCE);
    }

    /** Guards against jobs that are refused, or read wrongly, although they fit compressed. */
    @Test
    public void areReadAsWritten() {
      JobSpec job = job(2_000);
      assertTrue(JobCodec.write(job).length > MAX_BYTES);
      byte[] written = JobCodec.write(job, MAX_BYTES);
      assertTrue(written.length <= MAX_BYTES);
      assertEquals(JobCodec.read(ID, written), job);
    }

    /** Guards against small jobs that an earlier version cannot read. */
    @Test
    public void areTheOnlyOnesCompressed() {
      assertEquals(JobCodec.write(job(5), MAX_BYTES), JobCodec.write(job(5)));
    }

    /** Guards against a damaged row that ends the reading of all others. */
    @Test
    public void areRejectedWhereDamaged() {
      byte[] written = JobCodec.write(job(2_000), MAX_BYTES);
      byte[] half = Arrays.copyOf(written, written.length / 2);
      assertThrows(WireException.class, () -> JobCodec.read(ID, half));
    }
  }
}
