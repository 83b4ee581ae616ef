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
import org.cottontack.standin.World;

/** Stand-ins in this process, entry instances as processes, and a table in force. */
final class Bench implements AutoCloseable {

  private static final int WAIT_SECONDS = 120;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());
  private final HttpClient client = new HttpClient(group);
  private final World world;
  private final List<DaemonProcess> daemons = new ArrayList<>();

  Bench(Path workspace, World.Plan plan, int entriesEach, int rows) {
    world = new World(group, plan);
    for (String dataCentre : plan.dataCentres()) {
      for (int i = 0; i < entriesEach; i++) {
        daemons.add(new DaemonProcess(workspace, dataCentre, world.platform().address(dataCentre)));
      }
    }
    daemons.forEach(d -> until(() -> get(d.operators(), "/health/live").is(200)));
    until(() -> put(daemons.get(0).operators(), Tables.text(rows)).is(200));
    daemons.forEach(d -> until(() -> request(d, 1).is(200)));
  }

  World world() {
    return world;
  }

  HttpClient client() {
    return client;
  }

  List<DaemonProcess> daemons() {
    return daemons;
  }

  static void until(BooleanSupplier condition) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new IllegalStateException("the experiment did not get ready");
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
    world.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
