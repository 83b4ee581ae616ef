package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests of the signal that says that the settings have changed. */
public class HangupSignalTest {

  /** The signal's effect on the process. */
  public static class Handling {

    /**
     * The platform changes the settings file and sends the signal. A process without a handler
     * would end here, and its callers' connections with it.
     */
    @Test
    public void runsTheActionInsteadOfEndingTheProcess() throws Exception {
      CountDownLatch called = new CountDownLatch(1);
      HangupSignal.handle(called::countDown);
      long pid = ProcessHandle.current().pid();
      int exit = new ProcessBuilder("kill", "-HUP", Long.toString(pid)).start().waitFor();
      assertEquals(exit, 0);
      boolean ignored = ignoredFromTheStart();
      assertEquals(called.await(ignored ? 1 : 60, TimeUnit.SECONDS), !ignored);
    }

    private static boolean ignoredFromTheStart() throws IOException {
      String mask =
          Files.readAllLines(Path.of("/proc/self/status")).stream()
              .filter(line -> line.startsWith("SigIgn:"))
              .map(line -> line.substring("SigIgn:".length()).trim())
              .findFirst()
              .orElse("0");
      return (Long.parseUnsignedLong(mask, 16) & 1) == 1;
    }
  }
}
