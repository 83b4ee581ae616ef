package org.cottontack.daemon.http;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.cottontack.adapters.AdapterException;
import org.cottontack.adapters.http.HttpCall;
import org.cottontack.core.Event;
import org.cottontack.core.id.CallerId;
import org.cottontack.core.id.RequestId;
import org.cottontack.core.id.RowName;
import org.cottontack.core.peer.Payload;
import org.cottontack.core.request.Answer;
import org.cottontack.core.request.Code;
import org.cottontack.core.request.Ran;
import org.cottontack.core.request.RequestEffect;
import org.cottontack.core.request.RequestEvent;
import org.cottontack.daemon.metrics.DaemonMetrics;

/** HTTP route for callers' requests; each call gets exactly one final response. */
public final class RequestRoutes {

  private static final int MAX_KEY_LENGTH = 200;
  private static final Map<String, String> RAN_HEADERS =
      Map.of(
          "content-type", "application/json",
          "cottontack-ran", Ran.RAN.word(),
          "cottontack-code", Code.OK.word());

  private final Consumer<Event> events;
  private final DaemonMetrics metrics;
  private final AtomicLong numbers = new AtomicLong();
  private final Map<RequestId, Pending> pending = new ConcurrentHashMap<>();

  private record Pending(HttpCall call, long startedNanos) {}

  /** Creates the routes. */
  public RequestRoutes(Consumer<Event> events, DaemonMetrics metrics) {
    this.events = events;
    this.metrics = metrics;
  }

  /** Adds the routes. */
  public void addTo(Routes routes) {
    routes.on("POST", "/v1/requests/{}", this::arrived);
  }

  private void arrived(HttpCall call, String row) {
    RequestId id = new RequestId(numbers.incrementAndGet());
    Payload body = Payload.of(call.body());
    RequestEvent.Arrived event =
        new RequestEvent.Arrived(
            id, caller(call), rowName(row), key(call), hash(body), deadline(call), body);
    pending.put(id, new Pending(call, System.nanoTime()));
    events.accept(event);
  }

  static CallerId caller(HttpCall call) {
    String name = call.header("x-caller").orElse("anonymous");
    return new CallerId(validated("X-Caller", name));
  }

  private static RowName rowName(String row) {
    return new RowName(validated("the row", row));
  }

  private static String key(HttpCall call) {
    return call.header("idempotency-key").map(key -> validated("Idempotency-Key", key)).orElse("");
  }

  /**
   * Returns a value from a caller after checking its characters. The value becomes part of row
   * keys, so a slash would let one caller access the rows of another.
   */
  private static String validated(String what, String value) {
    boolean valid =
        !value.isBlank() && value.length() <= MAX_KEY_LENGTH && value.matches("[A-Za-z0-9._:~-]+");
    if (!valid) {
      throw new AdapterException(
          AdapterException.Code.MALFORMED,
          what + " must be 1 to " + MAX_KEY_LENGTH + " of A-Z a-z 0-9 . _ : ~ -",
          null);
    }
    return value;
  }

  private static long deadline(HttpCall call) {
    return call.header("x-deadline-millis").map(RequestRoutes::millis).orElse(0L);
  }

  private static long millis(String text) {
    try {
      long value = Long.parseLong(text);
      return value > 0 ? value : -1;
    } catch (NumberFormatException e) {
      throw new AdapterException(
          AdapterException.Code.MALFORMED,
          "X-Deadline-Millis must be a whole number of milliseconds, not '" + text + "'",
          e);
    }
  }

  private static String hash(Payload body) {
    try {
      byte[] digest = MessageDigest.getInstance("SHA-256").digest(body.bytes());
      return HexFormat.of().formatHex(digest);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }

  /** Sends the final response to the caller. */
  public void reply(RequestEffect.Reply reply) {
    Pending waiting = pending.remove(reply.id());
    if (waiting == null) {
      return;
    }
    Answer answer = reply.answer();
    metrics.answered(answer.code().ran(), System.nanoTime() - waiting.startedNanos());
    boolean ranAtEndpoint = answer.code().ran() == Ran.RAN && answer.endpointStatus() > 0;
    if (ranAtEndpoint) {
      waiting.call().respond(answer.endpointStatus(), RAN_HEADERS, answer.body().bytes());
    } else {
      Refusal.of(answer).answer(waiting.call(), answer.code().status());
    }
  }
}
