package org.cottontack.standin.platform;

import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.cottontack.adapters.Address;
import org.cottontack.adapters.fleet.HttpMembership;
import org.cottontack.adapters.http.HttpCall;
import org.cottontack.adapters.http.HttpServer;
import org.cottontack.adapters.json.Json;
import org.cottontack.adapters.store.StoreMessages;
import org.cottontack.core.fleet.MemberInfo;

/**
 * Stand-in of the platform: one table service and one list of instances. Each data centre uses a
 * separate address, so that a fault can be limited to one data centre.
 */
public final class PlatformStandIn implements AutoCloseable {

  private final Rows rows = new Rows();
  private final Map<String, StoreFault> faults = new ConcurrentHashMap<>();
  private final Supplier<List<MemberInfo>> members;
  private final Map<String, HttpServer> servers;

  /**
   * Starts the platform and listens at the given addresses.
   *
   * @param group event loops of the servers
   * @param addresses address to listen on for each data centre, by its name
   * @param members the workers and endpoints to list
   */
  public PlatformStandIn(
      EventLoopGroup group, Map<String, Address> addresses, Supplier<List<MemberInfo>> members) {
    this.members = members;
    this.servers =
        addresses.entrySet().stream()
            .collect(
                Collectors.toMap(
                    Map.Entry::getKey,
                    e -> HttpServer.listen(group, e.getValue(), c -> serve(e.getKey(), c))));
  }

  /** Returns the address that serves a data centre. */
  public Address address(String dataCentre) {
    return servers.get(dataCentre).address();
  }

  /** Sets the fault to simulate for one data centre until this method is called again for it. */
  public void setFault(String dataCentre, StoreFault fault) {
    faults.put(dataCentre, fault);
  }

  /** Returns the number of committed transactions, of scans and of rows. */
  public Map<String, Long> counts() {
    return rows.counts();
  }

  private void serve(String dataCentre, HttpCall call) {
    StoreFault fault = faults.getOrDefault(dataCentre, StoreFault.NONE);
    switch (call.path()) {
      case "/v1/transactions" -> commit(fault, call);
      case "/v1/rows" -> scan(fault, call);
      case "/v1/members" -> fault.respond(call, () -> list(call));
      default -> call.json(404, "{}");
    }
  }

  private void list(HttpCall call) {
    String dataCentre = call.query("dataCentre").orElse("");
    List<MemberInfo> listed =
        members.get().stream()
            .filter(m -> dataCentre.isEmpty() || m.dataCentre().value().equals(dataCentre))
            .toList();
    String etag = Integer.toHexString(listed.hashCode());
    if (call.header("if-none-match").filter(etag::equals).isPresent()) {
      call.respond(304, Map.of("etag", etag), new byte[0]);
      return;
    }
    call.respond(
        200,
        Map.of("etag", etag, "content-type", "application/json"),
        Json.write(new HttpMembership.Members(listed)).getBytes(StandardCharsets.UTF_8));
  }

  private void commit(StoreFault fault, HttpCall call) {
    if (!fault.appliesRequests()) {
      fault.respond(call, () -> {});
      return;
    }
    List<StoreMessages.StoredRow> conflicts =
        rows.commit(Json.read(call.text(), StoreMessages.Transaction.class).changes());
    String body = Json.write(new StoreMessages.Rows(conflicts));
    fault.respond(call, () -> call.json(conflicts.isEmpty() ? 200 : 409, body));
  }

  private void scan(StoreFault fault, HttpCall call) {
    fault.respond(
        call,
        () ->
            call.json(
                200,
                Json.write(new StoreMessages.Rows(rows.scan(call.query("prefix").orElse(""))))));
  }

  @Override
  public void close() {
    servers.values().forEach(HttpServer::close);
  }
}
