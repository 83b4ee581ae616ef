package org.cottontack.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.cottontack.adapters.Address;
import org.cottontack.adapters.http.HttpClient;
import org.cottontack.adapters.http.HttpResult;
import org.cottontack.adapters.json.Json;
import org.cottontack.core.peer.Payload;
import org.cottontack.core.task.Demand;

/** Stand-ins in this process, used by entry instances that run as separate processes. */
final class Cluster implements AutoCloseable {

  private static final int WAIT_SECONDS = 90;
  private static final long POLL_INTERVAL_NANOS = 50_000_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());
  private final HttpClient client = new HttpClient(group);
  private final StandIns standIns;
  private final List<EntryProcess> entries = new ArrayList<>();

  /**
   * Starts a cluster with the table of {@code table.yaml}: the services check and transfer and the
   * batch rows job and notice. Returns when all entry instances serve requests.
   */
  Cluster(List<String> dataCentres, int entriesEach) {
    Demand capacity = new Demand(8_000, 64_000, 1);
    standIns = new StandIns(group, new StandIns.Plan(dataCentres, 0, 2, 2, 4, 5, capacity));
    dataCentres.forEach(dataCentre -> add(dataCentre, entriesEach));
    entries.forEach(entry -> waitUntil("entry instance is live", () -> live(entry)));
    waitUntil("table is accepted", () -> edit(entries.get(0), 0, 1_000).is(200));
    waitUntil("all entry instances serve requests", () -> entries.stream().allMatch(this::serves));
  }

  private boolean live(EntryProcess entry) {
    entry.checkAlive();
    return get(entry.operators(), "/health/live").is(200);
  }

  private void add(String dataCentre, int count) {
    for (int i = 0; i < count; i++) {
      entries.add(new EntryProcess(dataCentre, standIns.platform().address(dataCentre)));
    }
  }

  StandIns standIns() {
    return standIns;
  }

  EntryProcess entry(int index) {
    return entries.get(index);
  }

  List<EntryProcess> entries() {
    return entries;
  }

  boolean serves(EntryProcess entry) {
    return request(entry, "check", "", "{\"probe\":1}").is(200);
  }

  /** Waits until a condition holds. No test asserts how long this takes. */
  static void waitUntil(String description, BooleanSupplier condition) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("condition not met within " + WAIT_SECONDS + " s: " + description);
      }
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
  }

  HttpResult get(Address address, String path) {
    return call(address, "GET", path, Map.of(), "");
  }

  HttpResult call(
      Address address, String method, String path, Map<String, String> headers, String body) {
    CompletableFuture<HttpResult> answer = new CompletableFuture<>();
    client.call(
        new HttpClient.Spec(address, method, path, headers, Payload.of(body), 6_000, () -> true),
        answer::complete);
    return answer.join();
  }

  HttpResult request(EntryProcess entry, String row, String key, String body) {
    Map<String, String> headers = new HashMap<>(Map.of("x-caller", "test"));
    if (!key.isEmpty()) {
      headers.put("idempotency-key", key);
    }
    return call(entry.callers(), "POST", "/v1/requests/" + row, headers, body);
  }

  HttpResult submit(EntryProcess entry, String id, long millis) {
    return submit(entry, id, "job", millis);
  }

  HttpResult submit(EntryProcess entry, String id, String row, long millis) {
    String body = TestFile.read("/task.json").formatted(id, row, millis, "notice".equals(row));
    return call(entry.callers(), "POST", "/v1/tasks", Map.of(), body);
  }

  String phase(EntryProcess entry, String task) {
    HttpResult result = get(entry.callers(), "/v1/tasks/" + task);
    return result.is(200) ? Json.tree(result.text()).path("phase").asText() : "";
  }

  JsonNode status(EntryProcess entry) {
    HttpResult result = get(entry.operators(), "/ops/status");
    return result.is(200) ? Json.tree(result.text()) : Json.tree("{}");
  }

  HttpResult edit(EntryProcess entry, long expected, int limit) {
    return call(
        entry.operators(),
        "PUT",
        "/ops/table?expected=" + expected + "&editor=test",
        Map.of(),
        table(limit));
  }

  private static String table(int limit) {
    return TestFile.read("/table.yaml").formatted(limit);
  }

  @Override
  public void close() {
    entries.forEach(EntryProcess::kill);
    standIns.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
