package org.cottontack.standin.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.cottontack.adapters.Address;
import org.cottontack.adapters.http.HttpCall;
import org.cottontack.adapters.http.HttpServer;
import org.cottontack.adapters.json.Json;
import org.cottontack.adapters.request.HttpEndpoints;
import org.cottontack.core.id.AttemptId;
import org.cottontack.standin.ledger.Ledger;

/**
 * Stand-in of an endpoint. A request takes as many milliseconds as the {@code millis} field of its
 * body says, or a default duration. No request is refused for lack of a slot: a request beyond the
 * slots runs, and the ledger records it as a violation.
 */
public final class EndpointStandIn implements AutoCloseable {

  private final String name;
  private final int slots;
  private final Ledger ledger;
  private final EventLoopGroup group;
  private final Set<String> running = ConcurrentHashMap.newKeySet();
  private final HttpServer server;
  private volatile long serviceMillis;
  private volatile EndpointFault fault = EndpointFault.NONE;

  /** Starts the endpoint and listens at the given address. */
  public EndpointStandIn(
      EventLoopGroup group,
      Address address,
      String name,
      int slots,
      long serviceMillis,
      Ledger ledger) {
    this.group = group;
    this.name = name;
    this.slots = slots;
    this.serviceMillis = serviceMillis;
    this.ledger = ledger;
    this.server = HttpServer.listen(group, address, this::serve);
  }

  /** Sets the fault to simulate until this method is called again. */
  public void setFault(EndpointFault value) {
    fault = value;
  }

  /** Sets the default duration of a request, in milliseconds. */
  public void setServiceMillis(long value) {
    serviceMillis = value;
  }

  /** Returns the address that the endpoint listens on. */
  public Address address() {
    return server.address();
  }

  private void serve(HttpCall call) {
    if ("/v1/running".equals(call.path())) {
      List<AttemptId> attempts = running.stream().map(AttemptId::new).toList();
      call.json(200, Json.write(new HttpEndpoints.Running(attempts)));
    } else if ("/v1/run".equals(call.path())) {
      run(call);
    } else {
      call.json(404, "{}");
    }
  }

  private void run(HttpCall call) {
    String attempt = call.header(HttpEndpoints.ATTEMPT).orElse("none");
    if (fault == EndpointFault.FAST_ERRORS) {
      call.respond(500, Map.of(HttpEndpoints.ATTEMPT, attempt), new byte[0]);
      return;
    }
    JsonNode body = Json.tree(call.text());
    running.add(attempt);
    ledger.requestStarted(name, call.text(), body.path("once").asBoolean(), running.size(), slots);
    long wait = body.path("millis").asLong(serviceMillis);
    if (wait == 0) {
      finish(call, attempt);
    } else {
      group.next().schedule(() -> finish(call, attempt), wait, TimeUnit.MILLISECONDS);
    }
  }

  private void finish(HttpCall call, String attempt) {
    running.remove(attempt);
    if (fault == EndpointFault.DROPS_ANSWERS) {
      call.drop();
      return;
    }
    String answer = "{\"endpoint\":\"" + name + "\",\"echo\":" + call.text() + "}";
    call.respond(
        200,
        Map.of(HttpEndpoints.ATTEMPT, attempt, "content-type", "application/json"),
        answer.getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public void close() {
    server.close();
  }
}
