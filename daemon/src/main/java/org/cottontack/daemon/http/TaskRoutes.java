package org.cottontack.daemon.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.cottontack.adapters.AdapterException;
import org.cottontack.adapters.http.HttpCall;
import org.cottontack.adapters.json.Json;
import org.cottontack.core.Event;
import org.cottontack.core.id.RowName;
import org.cottontack.core.id.TaskId;
import org.cottontack.core.task.Demand;
import org.cottontack.core.task.TaskEffect;
import org.cottontack.core.task.TaskEvent;

/** HTTP routes for callers' tasks: submit, status, cancel. */
public final class TaskRoutes {

  private static final long TICKET_MILLIS = 5_000;

  private final Consumer<Event> events;
  private final BiConsumer<Long, Event> delayedEvents;
  private final AtomicLong tickets = new AtomicLong();
  private final Map<Long, HttpCall> pending = new ConcurrentHashMap<>();

  /**
   * Creates the routes.
   *
   * @param events handles an event at once
   * @param delayedEvents handles an event after a number of milliseconds
   */
  public TaskRoutes(Consumer<Event> events, BiConsumer<Long, Event> delayedEvents) {
    this.events = events;
    this.delayedEvents = delayedEvents;
  }

  /**
   * The body of a submission.
   *
   * @param id chosen by the caller, so that a submission can safely be repeated; null to have one
   *     generated
   * @param row a batch row
   * @param input the task's input
   * @param demand the resources it needs, or null to use what its row declares
   */
  record Submission(TaskId id, RowName row, JsonNode input, Demand demand) {}

  /** Adds the routes. */
  public void addTo(Routes routes) {
    routes
        .on("POST", "/v1/tasks", (call, none) -> submit(call))
        .on(
            "GET",
            "/v1/tasks/{}",
            (call, id) -> post(call, t -> new TaskEvent.StatusAsked(t, id(id))))
        .on(
            "DELETE",
            "/v1/tasks/{}",
            (call, id) -> post(call, t -> new TaskEvent.CancelAsked(t, id(id))));
  }

  private void submit(HttpCall call) {
    Submission body = Json.read(call.text(), Submission.class);
    if (body == null || body.row() == null || body.input() == null) {
      throw new AdapterException(
          AdapterException.Code.MALFORMED, "a task needs the fields row and input", null);
    }
    TaskId id = body.id() == null ? new TaskId(UUID.randomUUID().toString()) : body.id();
    post(
        call,
        ticket ->
            new TaskEvent.SubmitAsked(
                ticket, id(id.value()), body.row(), body.input().toString(), body.demand()));
  }

  private static TaskId id(String text) {
    if (!text.matches("[A-Za-z0-9._:~-]{1,100}")) {
      throw new AdapterException(
          AdapterException.Code.MALFORMED,
          "a task's id must be 1 to 100 of A-Z a-z 0-9 . _ : ~ -",
          null);
    }
    return new TaskId(text);
  }

  private void post(HttpCall call, LongFunction<Event> event) {
    long ticket = tickets.incrementAndGet();
    pending.put(ticket, call);
    events.accept(event.apply(ticket));
    delayedEvents.accept(TICKET_MILLIS, new TaskEvent.TicketExpired(ticket));
  }

  /** Sends the final response to the caller. */
  public void answered(TaskEffect.Answered answer) {
    HttpCall call = pending.remove(answer.ticket());
    if (call == null) {
      return;
    }
    if (answer.verdict() == TaskEffect.Verdict.DONE) {
      call.json(200, Json.write(answer.record()));
    } else {
      Refusal.of(answer.verdict()).answer(call, answer.verdict().status());
    }
  }
}
