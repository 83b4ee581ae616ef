package org.cottontack.wire;

import static org.testng.Assert.assertThrows;

import org.cottontack.core.job.JobId;
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
}
