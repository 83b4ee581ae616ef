package org.cottontack.adapters.fleet;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.cottontack.adapters.AdapterException;
import org.cottontack.adapters.Address;
import org.cottontack.adapters.http.HttpClient;
import org.cottontack.adapters.http.HttpResult;
import org.cottontack.adapters.json.Json;
import org.cottontack.core.Event;
import org.cottontack.core.fleet.FleetEvent;
import org.cottontack.core.fleet.MemberInfo;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.peer.Payload;

/**
 * Reads the platform's list of instances over HTTP. Requests carry the ETag of the last list, so
 * that the response to an unchanged list is only a header. A failed request is ignored because the
 * list is requested again later.
 */
public final class HttpMembership {

  private static final long TIMEOUT_MILLIS = 2_000;

  private final HttpClient client;
  private final Address address;
  private final DataCentreId dataCentre;
  private final Consumer<Event> events;
  private volatile String etag = "none";

  /**
   * Creates the adapter.
   *
   * @param client sends the requests
   * @param address the platform
   * @param dataCentre the data centre whose instances are requested
   * @param events receives each list that differs from the previous one
   */
  public HttpMembership(
      HttpClient client, Address address, DataCentreId dataCentre, Consumer<Event> events) {
    this.client = client;
    this.address = address;
    this.dataCentre = dataCentre;
    this.events = events;
  }

  /**
   * The body of the platform's response.
   *
   * @param members all instances that run work
   */
  public record Members(List<MemberInfo> members) {}

  /** Requests the list, which is delivered as an event. */
  public void fetch() {
    HttpClient.Spec spec =
        new HttpClient.Spec(
            address,
            "GET",
            "/v1/members?dataCentre=" + dataCentre,
            Map.of("if-none-match", etag),
            Payload.EMPTY,
            TIMEOUT_MILLIS,
            () -> true);
    client.call(spec, this::fetched);
  }

  private void fetched(HttpResult result) {
    if (!result.is(200)) {
      return;
    }
    try {
      Members members = Json.read(result.text(), Members.class);
      events.accept(new FleetEvent.Listed(members.members()));
      etag = result.headers().getOrDefault("etag", "none");
    } catch (AdapterException e) {
      // An unreadable list is ignored; the last one stays in force.
      return;
    }
  }
}
