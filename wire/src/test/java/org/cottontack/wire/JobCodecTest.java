package org.cottontack.wire;

import static org.testng.Assert.assertThrows;

import org.cottontack.core.job.JobId;
import org.testng.annotations.Test;

/** Tests of the stored form of jobs. */
public class JobCodecTest {

  /**
   * A row lost its content, or held what the store could not decode. No bytes at all are a message
   * too: read as a job without steps, it would wait for ever and never end.
   */
  @Test
  public void noBytesAreNoJob() {
    assertThrows(WireException.class, () -> JobCodec.read(new JobId("a"), new byte[0]));
  }
}
