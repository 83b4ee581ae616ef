package org.cottontack.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cottontack.adapters.http.HttpResult;
import org.cottontack.standin.ledger.Ledger;
import org.cottontack.standin.platform.StoreFault;
import org.cottontack.standin.worker.WorkerFault;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests entry instances as real processes under failures. The checks compare what ran according to
 * the ledger, never times.
 */
public final class ProcessesTest {

  private ProcessesTest() {}

  /** Base class of tests with one data centre and three entry instances. */
  public abstract static class OneDataCentre {

    Cluster cluster;

    /** Starts the cluster. */
    @BeforeClass
    public void start() {
      cluster = new Cluster(List.of("dc"), 3);
    }

    /** Ends every process. */
    @AfterClass(alwaysRun = true)
    public void end() {
      if (cluster != null) {
        cluster.close();
      }
    }

    void assertNoViolations() {
      assertEquals(cluster.standIns().ledger().report().violations().toString(), "[]");
    }

    /** Checks that no transfer ran twice and that each one reported as run did run. */
    void assertTransfersMatchLedger(Map<String, String> outcomes) {
      Map<String, Integer> runs = cluster.standIns().ledger().report().requestRuns();
      outcomes.forEach(
          (key, outcome) -> {
            int ran = runs.getOrDefault(Load.body(key), 0);
            assertTrue(ran <= 1, key + " ran " + ran + " times");
            assertTrue(!"ran".equals(outcome) || ran == 1, key + " was reported as run");
          });
      assertNoViolations();
    }

    void waitForTransfers(Load load, int more) {
      int goal = load.completed() + more;
      Cluster.waitUntil(more + " more transfers complete", () -> load.completed() >= goal);
    }
  }

  /** Killed and replaced entry instances under load. */
  public static final class Replacement extends OneDataCentre {

    /**
     * An entry instance is killed while transfers are sent and tasks run. Callers switch to another
     * entry instance. Guards against transfers in doubt that run twice, and against tasks that do
     * not finish because their entry instance was killed.
     */
    @Test
    public void killedUnderLoad() {
      for (int i = 0; i < 6; i++) {
        cluster.submit(cluster.entry(i % 3), "kill-" + i, 2_000);
      }
      try (Load load = new Load(cluster, "kill", 4)) {
        waitForTransfers(load, 50);
        cluster.entry(0).signal("KILL");
        waitForTransfers(load, 50);
        cluster.entry(0).start();
        waitForTransfers(load, 100);
        assertTransfersMatchLedger(load.finish());
      }
      Cluster.waitUntil(
          "all tasks have finished",
          () ->
              IntStream.range(0, 6)
                  .allMatch(i -> "finished".equals(cluster.phase(cluster.entry(1), "kill-" + i))));
      assertNoViolations();
    }

    /**
     * Every entry instance is stopped gracefully and replaced in turn while transfers are sent.
     * Guards against a stop that interrupts requests in flight: each exit code is 0, and no
     * transfer is left in doubt.
     */
    @Test(priority = 1)
    public void rollingReplacement() {
      try (Load load = new Load(cluster, "roll", 4)) {
        waitForTransfers(load, 30);
        for (EntryProcess entry : cluster.entries()) {
          assertEquals(entry.stop(), 0, "exit code of a graceful stop");
          entry.start();
          Cluster.waitUntil("replaced entry instance serves requests", () -> cluster.serves(entry));
          waitForTransfers(load, 20);
        }
        Map<String, String> outcomes = load.finish();
        assertTransfersMatchLedger(outcomes);
        outcomes.values().removeIf("ran"::equals);
        assertEquals(outcomes.toString(), "{}");
      }
    }
  }

  /** Paused processes, network cuts and store outages. */
  public static final class PausesAndOutages extends OneDataCentre {

    /**
     * An entry instance is paused by a signal until its lease has expired, and continued later.
     * Meanwhile the others take over its share. Guards against a continued instance that still uses
     * its old share: it has to join as a new instance.
     */
    @Test
    public void pausedPastLeaseExpiry() {
      try (Load load = new Load(cluster, "pause", 4)) {
        waitForTransfers(load, 30);
        final String before = cluster.status(cluster.entry(0)).path("instance").asText();
        cluster.entry(0).signal("STOP");
        Cluster.waitUntil(
            "the other two instances share all resources",
            () -> cluster.status(cluster.entry(1)).path("members").size() == 2);
        waitForTransfers(load, 30);
        cluster.entry(0).signal("CONT");
        Cluster.waitUntil(
            "continued entry instance has joined as a new instance",
            () -> {
              String now = cluster.status(cluster.entry(0)).path("instance").asText();
              return !now.isEmpty() && !now.equals(before);
            });
        waitForTransfers(load, 30);
        assertTransfersMatchLedger(load.finish());
      }
    }

    /**
     * The store is unreachable for several lease durations. Idempotent requests are still served
     * and transfers are refused as not run. Guards against a running task that is started again
     * because of the outage: after it the task finishes, with exactly one run.
     */
    @Test(priority = 2)
    public void storeOutage() {
      cluster.submit(cluster.entry(0), "through-outage", 12_000);
      Cluster.waitUntil(
          "task is placed",
          () -> "placed".equals(cluster.phase(cluster.entry(0), "through-outage")));
      cluster.standIns().platform().setFault("dc", StoreFault.DOWN);
      Cluster.waitUntil("transfers are refused", () -> isRefused("outage-probe"));
      for (int i = 0; i < 200; i++) {
        assertTrue(cluster.serves(cluster.entry(i % 3)), "request " + i + " during the outage");
        LockSupport.parkNanos(30_000_000);
      }
      HttpResult refused = cluster.request(cluster.entry(1), "transfer", "o", Load.body("o"));
      assertEquals(refused.headers().get("cottontack-ran"), "not_run");
      cluster.standIns().platform().setFault("dc", StoreFault.NONE);
      Cluster.waitUntil(
          "task has finished",
          () -> "finished".equals(cluster.phase(cluster.entry(0), "through-outage")));
      List<Ledger.TaskRun> runs =
          cluster.standIns().ledger().report().taskRuns().stream()
              .filter(run -> run.task().equals("through-outage"))
              .toList();
      assertEquals(runs.size(), 1, runs.toString());
      assertFalse(cluster.standIns().ledger().report().requestRuns().containsKey(Load.body("o")));
      assertNoViolations();
    }

    private boolean isRefused(String key) {
      HttpResult result = cluster.request(cluster.entry(1), "transfer", key, Load.body(key));
      return "store_away".equals(result.headers().get("cottontack-code"));
    }

    /**
     * All answers of the store are lost for a while, although its transactions take effect. Guards
     * against transfers and tasks that run twice because of it.
     */
    @Test(priority = 3)
    public void lostStoreResponses() {
      try (Load load = new Load(cluster, "lost", 4)) {
        waitForTransfers(load, 20);
        for (int i = 0; i < 5; i++) {
          cluster.submit(cluster.entry(i % 3), "lost-" + i, 500);
          cluster.standIns().platform().setFault("dc", StoreFault.LOSES_ANSWERS);
          LockSupport.parkNanos(300_000_000);
          cluster.standIns().platform().setFault("dc", StoreFault.NONE);
          waitForTransfers(load, 10);
        }
        assertTransfersMatchLedger(load.finish());
      }
      Cluster.waitUntil(
          "all tasks have finished",
          () ->
              IntStream.range(0, 5)
                  .allMatch(i -> "finished".equals(cluster.phase(cluster.entry(1), "lost-" + i))));
      assertNoViolations();
    }

    /**
     * A worker that runs tasks is cut off. Idempotent tasks run on another worker, but only after
     * their leases on the first one have expired. Other tasks never run twice and may end in doubt.
     */
    @Test(priority = 3)
    public void workerCutOff() {
      for (int i = 0; i < 8; i++) {
        cluster.submit(cluster.entry(i % 3), "cut-" + i, i % 2 == 0 ? "job" : "notice", 3_000);
      }
      Cluster.waitUntil("no task is queued", () -> countOf("queued") == 0);
      cluster.standIns().workers().get("dc-w0").setFault(WorkerFault.CUT);
      Cluster.waitUntil(
          "all tasks have finished or are in doubt",
          () -> countOf("finished") + countOf("in_doubt") == 8);
      cluster.standIns().workers().get("dc-w0").setFault(WorkerFault.NONE);
      assertTrue(countOf("in_doubt") <= 4, "only the four notice tasks may be in doubt");
      assertNoViolations();
    }

    private long countOf(String phase) {
      return IntStream.range(0, 8)
          .filter(i -> phase.equals(cluster.phase(cluster.entry(1), "cut-" + i)))
          .count();
    }
  }

  /** Two data centres with two entry instances each. */
  public static final class TwoDataCentres {

    private Cluster cluster;

    /** Starts the cluster. */
    @BeforeClass
    public void start() {
      cluster = new Cluster(List.of("north", "south"), 2);
    }

    /** Ends every process. */
    @AfterClass(alwaysRun = true)
    public void end() {
      if (cluster != null) {
        cluster.close();
      }
    }

    /**
     * Two operators edit the same table version through different data centres at the same time.
     * Guards against a lost update: one edit is accepted, the other gets a conflict response that
     * names the first editor, and all entry instances adopt the accepted edit.
     */
    @Test
    public void twoOperatorsAtOnce() {
      List<Integer> statuses =
          List.of(0, 2).parallelStream()
              .map(index -> cluster.edit(cluster.entry(index), 1, 500 + index).status())
              .sorted()
              .collect(Collectors.toList());
      assertEquals(statuses, List.of(200, 409));
      Cluster.waitUntil(
          "all entry instances have the accepted table",
          () ->
              cluster.entries().stream()
                  .allMatch(entry -> cluster.status(entry).path("tableVersion").asLong() == 2));
    }

    /**
     * One data centre is cut off from the platform. It serves idempotent requests with its last
     * known table and reports the age of this table, while the other data centre accepts an edit.
     * Guards against a data centre that stops serving, or keeps the old table after the cut.
     */
    @Test(priority = 5)
    public void dataCentreCutOff() {
      cluster.standIns().platform().setFault("south", StoreFault.SILENT);
      assertTrue(cluster.edit(cluster.entry(0), 2, 700).is(200));
      Cluster.waitUntil(
          "table age of the cut-off data centre exceeds 6 s",
          () -> cluster.status(cluster.entry(2)).path("tableAgeMillis").asLong() > 6_000);
      assertTrue(cluster.serves(cluster.entry(2)));
      assertTrue(cluster.serves(cluster.entry(3)));
      assertEquals(cluster.status(cluster.entry(2)).path("tableVersion").asLong(), 2);
      cluster.standIns().platform().setFault("south", StoreFault.NONE);
      Cluster.waitUntil(
          "data centre adopts the new table",
          () -> cluster.status(cluster.entry(2)).path("tableVersion").asLong() == 3);
      assertEquals(cluster.standIns().ledger().report().violations(), List.of());
    }
  }

  /** Invalid input to a running entry instance, which reports the error and continues to serve. */
  public static final class BadInput {

    private Cluster cluster;

    /** Starts the cluster. */
    @BeforeClass
    public void start() {
      cluster = new Cluster(List.of("dc"), 1);
    }

    /** Ends every process. */
    @AfterClass(alwaysRun = true)
    public void end() {
      if (cluster != null) {
        cluster.close();
      }
    }

    /** Returns method, path, body, expected status and text that the response has to contain. */
    @DataProvider(name = "calls")
    public Object[][] calls() {
      return new Object[][] {
        {"POST", "/v1/requests/none", "{}", 404, "unknown_row"},
        {"POST", "/v1/requests/transfer", "{}", 400, "key_required"},
        {"POST", "/v1/requests/job", "{}", 404, "unknown_row"},
        {"POST", "/v1/requests/a%20b", "{}", 400, "bad_request"},
        {"GET", "/v1/requests/check", "", 405, "no_route"},
        {"GET", "/nothing", "", 404, "no_route"},
        {"POST", "/v1/tasks", "{", 400, "line 1"},
        {"POST", "/v1/tasks", "[]", 400, "bad_request"},
        {"POST", "/v1/tasks", "{\"row\":\"job\"}", 400, "input"},
        {"POST", "/v1/tasks", "{\"row\":\"job\",\"input\":1,\"x\":2}", 400, "x"},
        {"POST", "/v1/tasks", "{\"id\":\"a/b\",\"row\":\"job\",\"input\":1}", 400, "id"},
        {"POST", "/v1/tasks", "{\"row\":\"check\",\"input\":1}", 404, "unknown_row"},
        {"GET", "/v1/tasks/none", "", 404, "no_such_task"},
        {"DELETE", "/v1/tasks/none", "", 404, "no_such_task"},
      };
    }

    /** Each invalid call gets its error response, and the instance continues to serve. */
    @Test(dataProvider = "calls")
    public void isRejectedWithReason(
        String method, String path, String body, int status, String expectedText) {
      HttpResult result = cluster.call(cluster.entry(0).callers(), method, path, Map.of(), body);
      assertEquals(result.status(), status, result.text());
      assertTrue(result.text().contains(expectedText), result.text());
      assertTrue(cluster.serves(cluster.entry(0)));
    }

    /**
     * A body over the limit is refused, malformed HTTP closes the connection; serving continues.
     */
    @Test
    public void oversizedAndMalformed() {
      HttpResult result = cluster.request(cluster.entry(0), "check", "", "x".repeat(2 << 20));
      assertTrue(result.status() == 413 || result.status() == 0, "" + result.status());
      RawSocket.send(cluster.entry(0).callers(), "this is not HTTP\r\n\r\n");
      RawSocket.send(cluster.entry(0).callers(), "POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n");
      assertTrue(cluster.serves(cluster.entry(0)));
    }

    /** A request with a used idempotency key and another body is refused and does not run. */
    @Test
    public void reusedKey() {
      HttpResult first = cluster.request(cluster.entry(0), "transfer", "same", Load.body("one"));
      HttpResult second = cluster.request(cluster.entry(0), "transfer", "same", Load.body("two"));
      assertTrue(first.is(200));
      assertEquals(second.status(), 422);
      assertFalse(cluster.standIns().ledger().report().requestRuns().containsKey(Load.body("two")));
    }
  }

  /** Tests that the ledger detects violations. */
  public static final class LedgerDetection {

    /**
     * Leaves out the safeguard of a shared store: two schedulers use the same endpoints but
     * separate stores. Both then fill the same slots, and the ledger has to report it.
     */
    @Test
    public void twoSchedulersWithoutSharedStore() {
      try (Cluster cluster = new Cluster(List.of("dc"), 1);
          Cluster other = new Cluster(List.of("dc"), 1)) {
        cluster.standIns().endpoints().values().forEach(e -> e.setServiceMillis(2_000));
        other.standIns().replaceMembersWith(cluster.standIns());
        Cluster.waitUntil(
            "ledger reports a violation",
            () -> {
              for (Cluster each : List.of(cluster, other)) {
                IntStream.range(0, 12)
                    .forEach(i -> new Thread(() -> each.serves(each.entry(0))).start());
              }
              LockSupport.parkNanos(200_000_000);
              return !cluster.standIns().ledger().report().violations().isEmpty();
            });
      }
    }

    /** A task that runs on two workers at once and a task that runs again after it finished. */
    @Test
    public void concurrentAndRepeatedRuns() {
      Ledger ledger = new Ledger();
      ledger.taskStarted("t", 1, "w1", true, 0);
      ledger.taskStarted("t", 2, "w2", true, 1);
      ledger.taskEnded("t", 2, "finished", 2);
      ledger.taskStarted("t", 3, "w1", true, 3);
      assertEquals(ledger.report().violations().size(), 2);
    }
  }
}
