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

/** Real processes under failure; the verdict is the ledger's count of what ran, never a time. */
public final class ProcessesTest {

  private ProcessesTest() {}

  /** One data centre, three entry instances. */
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

    void assertNothingBroken() {
      assertEquals(cluster.world().ledger().report().violations().toString(), "[]");
    }

    /** Each transfer that its caller believes to have run ran once; none ran twice. */
    void assertTransfersHold(Map<String, String> outcomes) {
      Map<String, Integer> runs = cluster.world().ledger().report().requestRuns();
      outcomes.forEach(
          (key, outcome) -> {
            int ran = runs.getOrDefault(Load.body(key), 0);
            assertTrue(ran <= 1, key + " ran " + ran + " times");
            assertTrue(!"ran".equals(outcome) || ran == 1, key + " is said to have run");
          });
      assertNothingBroken();
    }

    void untilMade(Load load, int more) {
      int goal = load.made() + more;
      Cluster.until(more + " more transfers", () -> load.made() >= goal);
    }
  }

  /** Kills and replacements under load. */
  public static final class Replacement extends OneDataCentre {

    /**
     * An entry instance is killed while callers make transfers and tasks run. Callers go to another
     * one; transfers in doubt are not made twice; tasks go on and end.
     */
    @Test
    public void killedUnderLoad() {
      for (int i = 0; i < 6; i++) {
        cluster.submit(cluster.entry(i % 3), "kill-" + i, 2_000);
      }
      try (Load load = new Load(cluster, "kill", 4)) {
        untilMade(load, 50);
        cluster.entry(0).signal("KILL");
        untilMade(load, 50);
        cluster.entry(0).start();
        untilMade(load, 100);
        assertTransfersHold(load.finish());
      }
      Cluster.until(
          "all tasks end",
          () ->
              IntStream.range(0, 6)
                  .allMatch(i -> "finished".equals(cluster.phase(cluster.entry(1), "kill-" + i))));
      assertNothingBroken();
    }

    /**
     * Every entry instance is replaced in turn, gracefully, while callers make transfers. Each stop
     * ends with exit code 0: nothing in flight was cut off, so no transfer is left in doubt by it.
     */
    @Test(priority = 1)
    public void rollingReplacement() {
      try (Load load = new Load(cluster, "roll", 4)) {
        untilMade(load, 30);
        for (EntryProcess entry : cluster.entries()) {
          assertEquals(entry.stop(), 0, "graceful");
          entry.start();
          Cluster.until("it serves again", () -> cluster.serves(entry));
          untilMade(load, 20);
        }
        Map<String, String> outcomes = load.finish();
        assertTransfersHold(outcomes);
        outcomes.values().removeIf("ran"::equals);
        assertEquals(outcomes.toString(), "{}");
      }
    }
  }

  /** Pauses, cuts and outages. */
  public static final class Trouble extends OneDataCentre {

    /**
     * An entry instance is stopped by a signal past its lease and goes on later. The others take
     * its share; when it wakes it must not act on the old one.
     */
    @Test
    public void pausedAcrossItsLease() {
      try (Load load = new Load(cluster, "pause", 4)) {
        untilMade(load, 30);
        final String before = cluster.status(cluster.entry(0)).path("instance").asText();
        cluster.entry(0).signal("STOP");
        Cluster.until(
            "the others share everything",
            () -> cluster.status(cluster.entry(1)).path("members").size() == 2);
        untilMade(load, 30);
        cluster.entry(0).signal("CONT");
        Cluster.until(
            "it has joined anew",
            () -> {
              String now = cluster.status(cluster.entry(0)).path("instance").asText();
              return !now.isEmpty() && !now.equals(before);
            });
        untilMade(load, 30);
        assertTransfersHold(load.finish());
      }
    }

    /**
     * The store is away for several leases. Idempotent requests are served all along, transfers are
     * refused as not run, the running task is not disturbed, and all is as before afterwards.
     */
    @Test(priority = 2)
    public void storeOutage() {
      cluster.submit(cluster.entry(0), "through-outage", 12_000);
      Cluster.until(
          "it runs", () -> "placed".equals(cluster.phase(cluster.entry(0), "through-outage")));
      cluster.world().platform().fault("dc", StoreFault.DOWN);
      Cluster.until("refused", () -> isRefused("outage-probe"));
      for (int i = 0; i < 200; i++) {
        assertTrue(cluster.serves(cluster.entry(i % 3)), "request " + i + " in the outage");
        LockSupport.parkNanos(30_000_000);
      }
      HttpResult refused = cluster.request(cluster.entry(1), "transfer", "o", Load.body("o"));
      assertEquals(refused.headers().get("cottontack-ran"), "not_run");
      cluster.world().platform().fault("dc", StoreFault.NONE);
      Cluster.until(
          "the task ends",
          () -> "finished".equals(cluster.phase(cluster.entry(0), "through-outage")));
      List<Ledger.TaskRun> runs =
          cluster.world().ledger().report().taskRuns().stream()
              .filter(run -> run.task().equals("through-outage"))
              .toList();
      assertEquals(runs.size(), 1, runs.toString());
      assertFalse(cluster.world().ledger().report().requestRuns().containsKey(Load.body("o")));
      assertNothingBroken();
    }

    private boolean isRefused(String key) {
      HttpResult result = cluster.request(cluster.entry(1), "transfer", key, Load.body(key));
      return "store_away".equals(result.headers().get("cottontack-code"));
    }

    /** Every answer of the store is lost for a while; nothing is done twice because of it. */
    @Test(priority = 3)
    public void lostAnswersOfTheStore() {
      try (Load load = new Load(cluster, "lost", 4)) {
        untilMade(load, 20);
        for (int i = 0; i < 5; i++) {
          cluster.submit(cluster.entry(i % 3), "lost-" + i, 500);
          cluster.world().platform().fault("dc", StoreFault.LOSES_ANSWERS);
          LockSupport.parkNanos(300_000_000);
          cluster.world().platform().fault("dc", StoreFault.NONE);
          untilMade(load, 10);
        }
        assertTransfersHold(load.finish());
      }
      Cluster.until(
          "tasks end",
          () ->
              IntStream.range(0, 5)
                  .allMatch(i -> "finished".equals(cluster.phase(cluster.entry(1), "lost-" + i))));
      assertNothingBroken();
    }

    /**
     * A worker is cut off with tasks on it. Tasks that may repeat run elsewhere, but only after
     * their leases lapsed there; those that may not end in doubt and never run twice.
     */
    @Test(priority = 3)
    public void workerCutOff() {
      for (int i = 0; i < 8; i++) {
        cluster.submit(cluster.entry(i % 3), "cut-" + i, i % 2 == 0 ? "job" : "notice", 3_000);
      }
      Cluster.until("all run", () -> countOf("queued") == 0);
      cluster.world().workers().get("dc-w0").fault(WorkerFault.CUT);
      Cluster.until("tasks end", () -> countOf("finished") + countOf("in_doubt") == 8);
      cluster.world().workers().get("dc-w0").fault(WorkerFault.NONE);
      assertTrue(countOf("in_doubt") <= 4, "only notices may be in doubt");
      assertNothingBroken();
    }

    private long countOf(String phase) {
      return IntStream.range(0, 8)
          .filter(i -> phase.equals(cluster.phase(cluster.entry(1), "cut-" + i)))
          .count();
    }
  }

  /** Two data centres. */
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
     * Two operators edit the same version through different data centres at once. One is accepted,
     * the other is told who came first, and the accepted edit is in force everywhere.
     */
    @Test
    public void twoOperatorsAtOnce() {
      List<Integer> statuses =
          List.of(0, 2).parallelStream()
              .map(index -> cluster.edit(cluster.entry(index), 1, 500 + index).status())
              .sorted()
              .collect(Collectors.toList());
      assertEquals(statuses, List.of(200, 409));
      Cluster.until(
          "in force everywhere",
          () ->
              cluster.entries().stream()
                  .allMatch(entry -> cluster.status(entry).path("tableVersion").asLong() == 2));
    }

    /**
     * One data centre is cut off from the platform. It serves idempotent requests by its last table
     * and says how old that is; the other accepts an edit; after the cut it catches up.
     */
    @Test(priority = 5)
    public void dataCentreCutOff() {
      cluster.world().platform().fault("south", StoreFault.SILENT);
      assertTrue(cluster.edit(cluster.entry(0), 2, 700).is(200));
      Cluster.until(
          "its table grows old",
          () -> cluster.status(cluster.entry(2)).path("tableAgeMillis").asLong() > 6_000);
      assertTrue(cluster.serves(cluster.entry(2)));
      assertTrue(cluster.serves(cluster.entry(3)));
      assertEquals(cluster.status(cluster.entry(2)).path("tableVersion").asLong(), 2);
      cluster.world().platform().fault("south", StoreFault.NONE);
      Cluster.until(
          "it catches up",
          () -> cluster.status(cluster.entry(2)).path("tableVersion").asLong() == 3);
      assertEquals(cluster.world().ledger().report().violations(), List.of());
    }
  }

  /** Bad input to a running entry instance: a clear answer each, and it goes on. */
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

    /** Returns method, path, body, status and what the body must name. */
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

    /** Each bad call gets its answer and the instance goes on serving. */
    @Test(dataProvider = "calls")
    public void isAnsweredClearly(
        String method, String path, String body, int status, String wanted) {
      HttpResult result = cluster.call(cluster.entry(0).callers(), method, path, Map.of(), body);
      assertEquals(result.status(), status, result.text());
      assertTrue(result.text().contains(wanted), result.text());
      assertTrue(cluster.serves(cluster.entry(0)));
    }

    /** A body over the limit is refused; what is no HTTP closes the connection. */
    @Test
    public void oversizedAndMalformed() {
      HttpResult result = cluster.request(cluster.entry(0), "check", "", "x".repeat(2 << 20));
      assertTrue(result.status() == 413 || result.status() == 0, "" + result.status());
      RawSocket.send(cluster.entry(0).callers(), "this is not HTTP\r\n\r\n");
      RawSocket.send(cluster.entry(0).callers(), "POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n");
      assertTrue(cluster.serves(cluster.entry(0)));
    }

    /** The same key with another body is refused and does not run. */
    @Test
    public void reusedKey() {
      HttpResult first = cluster.request(cluster.entry(0), "transfer", "same", Load.body("one"));
      HttpResult second = cluster.request(cluster.entry(0), "transfer", "same", Load.body("two"));
      assertTrue(first.is(200));
      assertEquals(second.status(), 422);
      assertFalse(cluster.world().ledger().report().requestRuns().containsKey(Load.body("two")));
    }
  }

  /** The ledger sees broken promises. */
  public static final class LedgerSees {

    /**
     * The safeguard taken out is the one store: two schedulers that share endpoints but not their
     * records both fill the same slots, and the ledger says so.
     */
    @Test
    public void twoSchedulersWithoutCommonRecords() {
      try (Cluster cluster = new Cluster(List.of("dc"), 1);
          Cluster other = new Cluster(List.of("dc"), 1)) {
        cluster.world().endpoints().values().forEach(e -> e.serviceMillis(2_000));
        other.world().adoptMembersOf(cluster.world());
        Cluster.until(
            "a violation",
            () -> {
              for (Cluster each : List.of(cluster, other)) {
                IntStream.range(0, 12)
                    .forEach(i -> new Thread(() -> each.serves(each.entry(0))).start());
              }
              LockSupport.parkNanos(200_000_000);
              return !cluster.world().ledger().report().violations().isEmpty();
            });
      }
    }

    /** A task in two places at once, and one that runs again after its end. */
    @Test
    public void tasksInTwoPlaces() {
      Ledger ledger = new Ledger();
      ledger.taskStarted("t", 1, "w1", true, 0);
      ledger.taskStarted("t", 2, "w2", true, 1);
      ledger.taskEnded("t", 2, "finished", 2);
      ledger.taskStarted("t", 3, "w1", true, 3);
      assertEquals(ledger.report().violations().size(), 2);
    }
  }
}
