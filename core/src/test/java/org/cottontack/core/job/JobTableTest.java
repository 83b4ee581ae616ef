package org.cottontack.core.job;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/** Tests of the rules in force. */
public class JobTableTest {

  private static JobQueue queue(String name, String pool) {
    return new JobQueue(name, "host", "/jobs/", pool, 0, 2, 1.5, 250, false);
  }

  /** Queues of jobs that were accepted under earlier rules. */
  public static class Accepted {

    /** Guards against rules that no instance takes because two queues share a name. */
    @Test
    public void firstQueueOfOneNameCounts() {
      JobTable table =
          new JobTable(1, List.of(queue("a", "first"), queue("a", "second")), List.of());
      assertEquals(table.current(queue("a", "before")).pool(), "first");
      assertEquals(table.queues().size(), 2);
    }

    @Test
    public void queueThatTheRulesLackStaysAsAccepted() {
      JobTable table = new JobTable(1, List.of(queue("a", "now")), List.of());
      assertEquals(table.current(queue("b", "before")).pool(), "before");
    }
  }
}
