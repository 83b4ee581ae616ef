package org.cottontack.standin;

import io.netty.channel.EventLoopGroup;
import org.cottontack.adapters.Address;
import org.cottontack.adapters.http.HttpCall;
import org.cottontack.adapters.http.HttpServer;
import org.cottontack.adapters.json.Json;
import org.cottontack.standin.endpoint.EndpointFault;
import org.cottontack.standin.platform.PlatformStandIn;
import org.cottontack.standin.platform.StoreFault;
import org.cottontack.standin.worker.WorkerFault;

/** Lets tests and trials look into the stand-ins and make them fail, over HTTP. */
final class Control implements AutoCloseable {

  private final World world;
  private final HttpServer server;

  Control(EventLoopGroup group, Address address, World world) {
    this.world = world;
    this.server = HttpServer.listen(group, address, this::serve);
  }

  Address address() {
    return server.address();
  }

  private void serve(HttpCall call) {
    try {
      call.json(200, answer(call));
    } catch (IllegalArgumentException e) {
      call.json(400, Json.write(e.getMessage()));
    }
  }

  private String answer(HttpCall call) {
    switch (call.path()) {
      case "/control/ledger" -> {
        return Json.write(world.ledger().report());
      }
      case "/control/store-counts" -> {
        return Json.write(world.platform().counts());
      }
      case "/control/store" -> fault(world.platform(), call);
      case "/control/worker" ->
          world.workers().get(name(call)).fault(WorkerFault.forWord(text(call, "fault")));
      case "/control/worker-restart" -> world.workers().get(name(call)).restart();
      case "/control/endpoint" ->
          world.endpoints().get(name(call)).fault(EndpointFault.forWord(text(call, "fault")));
      case "/control/endpoint-millis" ->
          world.endpoints().get(name(call)).serviceMillis(Long.parseLong(text(call, "millis")));
      case "/control/leaving" -> world.leaving(name(call));
      default -> throw new IllegalArgumentException("no route " + call.path());
    }
    return "{}";
  }

  private static void fault(PlatformStandIn platform, HttpCall call) {
    platform.fault(text(call, "dc"), StoreFault.forWord(text(call, "fault")));
  }

  private static String name(HttpCall call) {
    return text(call, "name");
  }

  private static String text(HttpCall call, String parameter) {
    return call.query(parameter)
        .orElseThrow(() -> new IllegalArgumentException("give ?" + parameter + "="));
  }

  @Override
  public void close() {
    server.close();
  }
}
