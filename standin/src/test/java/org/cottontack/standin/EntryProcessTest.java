package org.cottontack.standin;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import org.cottontack.adapters.Address;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Tests of what is said of an entry process that ended by itself. */
public class EntryProcessTest {

  /** Processes that end. */
  public static class Ending {

    /** What signal 9 makes a process end with. */
    private static final String KILLED = "137";

    private EntryProcess entry;

    /** Ends the process where the test did not. */
    @AfterMethod(alwaysRun = true)
    public void end() {
      entry.kill();
    }

    /**
     * A process is killed before it is live; the test that waits for it says so, and where to look.
     */
    @Test
    public void isToldWithItsCodeAndItsLog() {
      entry = new EntryProcess("dc", new Address("127.0.0.1", FreePorts.next()));
      entry.checkAlive();
      entry.signal("KILL");
      Cluster.until("it has ended", () -> !entry.alive());
      AssertionError told = expectThrows(AssertionError.class, entry::checkAlive);
      assertTrue(told.getMessage().contains(KILLED), told.getMessage());
      assertTrue(told.getMessage().contains("entry-logs"), told.getMessage());
    }
  }
}
