package org.cottontack.daemon.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cottontack.adapters.AdapterException;
import org.cottontack.adapters.http.HttpCall;
import org.cottontack.adapters.json.Json;
import org.cottontack.adapters.table.TableText;
import org.cottontack.core.Event;
import org.cottontack.core.State;
import org.cottontack.core.ownership.OwnershipEvent;
import org.cottontack.core.ownership.OwnershipPhase;
import org.cottontack.core.table.TableEffect;
import org.cottontack.core.table.TableEvent;
import org.cottontack.daemon.metrics.DaemonMetrics;
import org.cottontack.daemon.metrics.MetricsText;
import org.cottontack.daemon.timeline.Timeline;

/** HTTP routes for operators and for the health checks of the platform's load balancer. */
public final class OperatorRoutes {

  private final Consumer<Event> events;
  private final Supplier<State> state;
  private final DaemonMetrics metrics;
  private final Timeline timeline;
  private final StoreReader reader;
  private final AtomicLong tickets = new AtomicLong();
  private final Map<Long, HttpCall> edits = new ConcurrentHashMap<>();

  /** Creates the routes. */
  public OperatorRoutes(
      Consumer<Event> events,
      Supplier<State> state,
      DaemonMetrics metrics,
      Timeline timeline,
      StoreReader reader) {
    this.events = events;
    this.state = state;
    this.metrics = metrics;
    this.timeline = timeline;
    this.reader = reader;
  }

  /**
   * The response to an edit of the table.
   *
   * @param verdict accepted, invalid or stale
   * @param version the version in force on the instance that responded
   * @param messages one message per line
   */
  public record EditResult(String verdict, long version, List<String> messages) {}

  /**
   * The response to a timeline query.
   *
   * @param dropped number of events dropped by this instance because the timeline was full
   * @param entries matching events
   */
  public record TimelinePart(long dropped, List<Timeline.Entry> entries) {}

  /** Adds the routes of the load balancer's health checks, which the callers' port serves too. */
  public void addHealthTo(Routes routes) {
    routes
        .on("GET", "/health/live", (call, none) -> call.json(200, "{\"live\":true}"))
        .on("GET", "/health/ready", (call, none) -> ready(call));
  }

  /** Adds all routes. */
  public void addTo(Routes routes) {
    addHealthTo(routes);
    routes
        .on("GET", "/ops/status", (call, none) -> call.json(200, Json.write(status())))
        .on("GET", "/ops/instances", (call, none) -> reader.instances(call))
        .on("GET", "/ops/tasks", (call, none) -> reader.tasks(call))
        .on("GET", "/ops/table", (call, none) -> table(call))
        .on("PUT", "/ops/table", (call, none) -> edit(call))
        .on("GET", "/ops/table/history", (call, none) -> reader.history(call))
        .on("GET", "/ops/timeline", (call, none) -> timeline(call))
        .on("POST", "/ops/drain", (call, none) -> drain(call))
        .on("GET", "/metrics", (call, none) -> metricsText(call));
  }

  private void ready(HttpCall call) {
    State now = state.get();
    boolean ready = now.table().version() > 0 && now.ownership().phase() == OwnershipPhase.MEMBER;
    call.json(ready ? 200 : 503, "{\"ready\":" + ready + "}");
  }

  private InstanceStatus status() {
    return InstanceStatus.of(state.get());
  }

  private void table(HttpCall call) {
    if (state.get().table().version() == 0) {
      Refusal.notRun("no_table", "there is no table yet").answer(call, 404);
      return;
    }
    call.respond(
        200,
        Map.of(
            "content-type",
            "application/yaml",
            "cottontack-table-version",
            "" + state.get().table().version()),
        TableText.write(state.get().table().record().content()).getBytes(StandardCharsets.UTF_8));
  }

  private void edit(HttpCall call) {
    long expected =
        call.query("expected").map(OperatorRoutes::version).orElseThrow(this::noVersion);
    String editor = call.query("editor").orElse("unknown");
    long ticket = tickets.incrementAndGet();
    TableEvent event =
        new TableEvent.EditAsked(ticket, expected, editor, TableText.read(call.text()));
    edits.put(ticket, call);
    events.accept(event);
  }

  private AdapterException noVersion() {
    return new AdapterException(
        AdapterException.Code.MALFORMED, "give the version you edited as ?expected=N", null);
  }

  private static long version(String text) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new AdapterException(
          AdapterException.Code.MALFORMED, "'" + text + "' is not a version number", e);
    }
  }

  /** Sends the result of an edit to the operator. */
  public void edited(TableEffect.EditAnswered answer) {
    HttpCall call = edits.remove(answer.ticket());
    if (call == null) {
      return;
    }
    int status =
        switch (answer.verdict()) {
          case ACCEPTED -> 200;
          case INVALID -> 422;
          case STALE -> 409;
        };
    String verdict = answer.verdict().name().toLowerCase(Locale.ROOT);
    call.json(status, Json.write(new EditResult(verdict, answer.version(), answer.messages())));
  }

  private void timeline(HttpCall call) {
    String subject = call.query("subject").orElse("");
    String event = call.query("event").orElse("");
    List<Timeline.Entry> entries =
        timeline.select(
            entry -> entry.subject().contains(subject) && entry.event().startsWith(event));
    call.json(200, Json.write(new TimelinePart(timeline.dropped(), entries)));
  }

  private void drain(HttpCall call) {
    events.accept(new OwnershipEvent.StopAsked());
    call.json(202, "{\"draining\":true}");
  }

  private void metricsText(HttpCall call) {
    call.respond(
        200,
        Map.of("content-type", "text/plain; version=0.0.4"),
        MetricsText.of(metrics.registry()).getBytes(StandardCharsets.UTF_8));
  }
}
