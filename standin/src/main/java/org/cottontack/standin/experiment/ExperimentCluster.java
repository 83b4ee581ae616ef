package org.cottontack.standin.experiment;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.cottontack.adapters.Address;
import org.cottontack.adapters.http.HttpClient;
import org.cottontack.adapters.http.HttpResult;
import org.cottontack.core.peer.Payload;
import org.cottontack.standin.StandIns;

/**
 * Stand-ins in this process and entry instances as separate processes. The constructor returns when
 * all entry instances serve requests by the table.
 */
final class ExperimentCluster implements AutoCloseable {

  private static final int WAIT_SECONDS = 120;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());
  private final HttpClient client = new HttpClient(group);
  private final StandIns standIns;
  private final List<DaemonProcess> daemons = new ArrayList<>();

  ExperimentCluster(Path workspace, StandIns.Plan plan, int entriesEach, int rows) {
    standIns = new StandIns(group, plan);
    for (String dataCentre : plan.dataCentres()) {
      for (int i = 0; i < entriesEach; i++) {
        daemons.add(
            new DaemonProcess(workspace, dataCentre, standIns.platform().address(dataCentre)));
      }
    }
    daemons.forEach(d -> waitUntil(() -> get(d.operators(), "/health/live").is(200)));
    waitUntil(() -> put(daemons.get(0).operators(), Tables.text(rows)).is(200));
    daemons.forEach(d -> waitUntil(() -> request(d, 1).is(200)));
  }

  StandIns standIns() {
    return standIns;
  }

  HttpClient client() {
    return client;
  }

  List<DaemonProcess> daemons() {
    return daemons;
  }

  static void waitUntil(BooleanSupplier condition) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new IllegalStateException("the experiment did not reach the expected state in time");
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
    }
  }

  HttpResult get(Address address, String path) {
    return call(HttpClient.Spec.get(address, path, 5_000));
  }

  private HttpResult put(Address address, String body) {
    return call(
        new HttpClient.Spec(
            address,
            "PUT",
            "/ops/table?expected=0&editor=experiment",
            Map.of(),
            Payload.of(body),
            5_000,
            () -> true));
  }

  HttpResult request(DaemonProcess daemon, long number) {
    return call(requestSpec(daemon.callers(), number));
  }

  static HttpClient.Spec requestSpec(Address address, long number) {
    return HttpClient.Spec.post(
        address, "/v1/requests/check", Payload.of("{\"number\":" + number + "}"), 10_000);
  }

  HttpResult submit(DaemonProcess daemon, String id, long millis) {
    String body = "{\"id\":\"%s\",\"row\":\"job\",\"input\":{\"millis\":%d}}".formatted(id, millis);
    return call(HttpClient.Spec.post(daemon.callers(), "/v1/tasks", Payload.of(body), 10_000));
  }

  HttpResult call(HttpClient.Spec spec) {
    CompletableFuture<HttpResult> answer = new CompletableFuture<>();
    client.call(spec, answer::complete);
    return answer.join();
  }

  @Override
  public void close() {
    daemons.forEach(DaemonProcess::close);
    standIns.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
