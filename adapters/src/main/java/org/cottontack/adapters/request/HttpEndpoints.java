package org.cottontack.adapters.request;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.cottontack.adapters.AdapterException;
import org.cottontack.adapters.Address;
import org.cottontack.adapters.http.HttpClient;
import org.cottontack.adapters.http.HttpResult;
import org.cottontack.adapters.json.Json;
import org.cottontack.core.Event;
import org.cottontack.core.fleet.FleetEffect;
import org.cottontack.core.fleet.FleetEvent;
import org.cottontack.core.id.AttemptId;
import org.cottontack.core.request.RequestEffect;
import org.cottontack.core.request.RequestEvent;

/**
 * Sends requests to endpoints over HTTP. {@code POST /v1/run} carries the attempt in a header that
 * the response repeats, and {@code GET /v1/running} lists the attempts in progress.
 */
public final class HttpEndpoints {

  /** The header that associates a response with its attempt. */
  public static final String ATTEMPT = "x-cottontack-attempt";

  /** The header that names the row. */
  public static final String ROW = "x-cottontack-row";

  private static final long PROBE_TIMEOUT_MILLIS = 1_000;

  /**
   * Time after the deadline of a request until its connection is closed, in milliseconds. If the
   * endpoint has not answered by then, the slot stays occupied until a report of the endpoint no
   * longer lists the attempt.
   */
  private static final long GRACE_MILLIS = 30_000;

  private final HttpClient client;
  private final LongSupplier clock;
  private final Consumer<Event> events;

  /**
   * Creates the adapter.
   *
   * @param client sends the requests
   * @param clock the process's monotonic clock in milliseconds
   * @param events receives the responses
   */
  public HttpEndpoints(HttpClient client, LongSupplier clock, Consumer<Event> events) {
    this.client = client;
    this.clock = clock;
    this.events = events;
  }

  /**
   * The body of {@code GET /v1/running}.
   *
   * @param running the attempts in progress
   */
  public record Running(List<AttemptId> running) {}

  /** Sends a request, whose outcome is delivered as an event. */
  public void dispatch(RequestEffect.Dispatch order) {
    Map<String, String> headers =
        Map.of(
            ATTEMPT,
            order.attempt().value(),
            ROW,
            order.row().value(),
            "content-type",
            "application/json");
    HttpClient.Spec spec =
        new HttpClient.Spec(
            Address.parse(order.address()),
            "POST",
            "/v1/run",
            headers,
            order.body(),
            order.millisLeft() + GRACE_MILLIS,
            () -> clock.getAsLong() < order.validUntil());
    client.call(spec, result -> events.accept(outcome(order.attempt(), result)));
  }

  /**
   * Returns the event for a result. A response that does not repeat the attempt does not belong to
   * it and is treated as a failure, because it does not prove what became of the attempt.
   */
  private static Event outcome(AttemptId attempt, HttpResult result) {
    boolean attemptMatches = attempt.value().equals(result.headers().get(ATTEMPT));
    return result.outcome() == HttpResult.Outcome.ANSWERED && attemptMatches
        ? new RequestEvent.EndpointAnswered(attempt, result.status(), result.body())
        : new RequestEvent.EndpointFailed(attempt, result.outcome() != HttpResult.Outcome.NOT_SENT);
  }

  /** Requests the list of attempts that an endpoint is running. */
  public void probe(FleetEffect.ProbeEndpoint probe) {
    client.call(
        HttpClient.Spec.get(Address.parse(probe.address()), "/v1/running", PROBE_TIMEOUT_MILLIS),
        result -> probed(probe, result));
  }

  private void probed(FleetEffect.ProbeEndpoint probe, HttpResult result) {
    if (!result.is(200)) {
      return;
    }
    try {
      Set<AttemptId> running =
          Json.read(result.text(), Running.class).running().stream()
              .collect(Collectors.toUnmodifiableSet());
      events.accept(new FleetEvent.EndpointReported(probe.endpoint(), probe.askedAt(), running));
    } catch (AdapterException e) {
      // Without a readable report the slots stay occupied until a later probe succeeds.
      return;
    }
  }
}
