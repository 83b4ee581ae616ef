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

/** HTTP routes through which tests and trials inspect the stand-ins and inject faults. */
final class Control implements AutoCloseable {

  private final StandIns standIns;
  private final HttpServer server;

  Control(EventLoopGroup group, Address address, StandIns standIns) {
    this.standIns = standIns;
    this.server = HttpServer.listen(group, address, this::serve);
  }

  Address address() {
    return server.address();
  }

  private void serve(HttpCall call) {
    try {
      call.json(200, handle(call));
    } catch (IllegalArgumentException e) {
      call.json(400, Json.write(e.getMessage()));
    }
  }

  private String handle(HttpCall call) {
    switch (call.path()) {
      case "/control/ledger" -> {
        return Json.write(standIns.ledger().report());
      }
      case "/control/store-counts" -> {
        return Json.write(standIns.platform().counts());
      }
      case "/control/store" -> setStoreFault(standIns.platform(), call);
      case "/control/worker" ->
          standIns
              .workers()
              .get(name(call))
              .setFault(WorkerFault.forWord(parameter(call, "fault")));
      case "/control/worker-restart" -> standIns.workers().get(name(call)).restart();
      case "/control/endpoint" ->
          standIns
              .endpoints()
              .get(name(call))
              .setFault(EndpointFault.forWord(parameter(call, "fault")));
      case "/control/endpoint-millis" ->
          standIns
              .endpoints()
              .get(name(call))
              .setServiceMillis(Long.parseLong(parameter(call, "millis")));
      case "/control/leaving" -> standIns.markLeaving(name(call));
      default -> throw new IllegalArgumentException("no route " + call.path());
    }
    return "{}";
  }

  private static void setStoreFault(PlatformStandIn platform, HttpCall call) {
    platform.setFault(parameter(call, "dc"), StoreFault.forWord(parameter(call, "fault")));
  }

  private static String name(HttpCall call) {
    return parameter(call, "name");
  }

  private static String parameter(HttpCall call, String key) {
    return call.query(key).orElseThrow(() -> new IllegalArgumentException("give ?" + key + "="));
  }

  @Override
  public void close() {
    server.close();
  }
}
