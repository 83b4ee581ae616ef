package org.cottontack.standin;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import org.cottontack.adapters.Address;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Tests the error for an entry process that ended by itself. */
public class EntryProcessTest {

  /** Processes that end before the test stops them. */
  public static class Ending {

    /** Exit code of a process that was ended by signal 9. */
    private static final String EXIT_CODE_KILLED = "137";

    private EntryProcess entry;

    /** Ends the process if the test did not. */
    @AfterMethod(alwaysRun = true)
    public void end() {
      entry.kill();
    }

    /**
     * A process is killed before it is live. The error of the waiting test has the exit code and
     * the path of the log, so that a process that cannot start is not taken for a slow one.
     */
    @Test
    public void reportsExitCodeAndLogFile() {
      entry = new EntryProcess("dc", new Address("127.0.0.1", FreePorts.next()));
      entry.checkAlive();
      entry.signal("KILL");
      Cluster.waitUntil("entry process has ended", () -> !entry.alive());
      AssertionError error = expectThrows(AssertionError.class, entry::checkAlive);
      assertTrue(error.getMessage().contains(EXIT_CODE_KILLED), error.getMessage());
      assertTrue(error.getMessage().contains("entry-logs"), error.getMessage());
    }
  }
}
