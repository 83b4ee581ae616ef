package org.cottontack.adapters.fleet;

import java.util.List;
import java.util.function.Consumer;
import org.cottontack.adapters.AdapterException;
import org.cottontack.adapters.Address;
import org.cottontack.adapters.http.HttpClient;
import org.cottontack.adapters.http.HttpResult;
import org.cottontack.adapters.json.Json;
import org.cottontack.core.Event;
import org.cottontack.core.fleet.FleetEvent;
import org.cottontack.core.fleet.MemberInfo;

/** The platform's list of instances over HTTP. A failed read is dropped; the next one follows. */
public final class HttpMembership {

  private static final long TIMEOUT_MILLIS = 2_000;

  private final HttpClient client;
  private final Address address;
  private final Consumer<Event> events;

  /** Creates the adapter. */
  public HttpMembership(HttpClient client, Address address, Consumer<Event> events) {
    this.client = client;
    this.address = address;
    this.events = events;
  }

  /**
   * The body of the platform's answer.
   *
   * @param members all instances that run work
   */
  public record Members(List<MemberInfo> members) {}

  /** Asks for the list; it comes as an event. */
  public void fetch() {
    client.call(HttpClient.Spec.get(address, "/v1/members", TIMEOUT_MILLIS), this::fetched);
  }

  private void fetched(HttpResult result) {
    if (!result.is(200)) {
      return;
    }
    try {
      Members members = Json.read(result.text(), Members.class);
      events.accept(new FleetEvent.Listed(members.members()));
    } catch (AdapterException e) {
      // A list that cannot be read is as good as none: the last one stays in force.
      return;
    }
  }
}
