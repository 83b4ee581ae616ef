package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests of the handler for the signal that announces changed settings. */
public class HangupSignalTest {

  /** The signal's effect on the process. */
  public static class Handling {

    /**
     * The platform changes the settings file and sends the signal. Without a handler, the signal
     * would end the process and close its callers' connections.
     */
    @Test
    public void runsTheActionInsteadOfEndingTheProcess() throws Exception {
      CountDownLatch called = new CountDownLatch(1);
      HangupSignal.handle(called::countDown);
      long pid = ProcessHandle.current().pid();
      int exit = new ProcessBuilder("kill", "-HUP", Long.toString(pid)).start().waitFor();
      assertEquals(exit, 0);
      boolean ignored = ignoredAtStartup();
      assertEquals(called.await(ignored ? 1 : 60, TimeUnit.SECONDS), !ignored);
    }

    private static boolean ignoredAtStartup() throws IOException {
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
