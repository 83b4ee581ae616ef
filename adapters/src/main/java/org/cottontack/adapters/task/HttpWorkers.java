package org.cottontack.adapters.task;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cottontack.adapters.AdapterException;
import org.cottontack.adapters.Address;
import org.cottontack.adapters.http.HttpClient;
import org.cottontack.adapters.http.HttpResult;
import org.cottontack.adapters.json.Json;
import org.cottontack.core.Event;
import org.cottontack.core.task.Run;
import org.cottontack.core.task.RunReport;
import org.cottontack.core.task.TaskEffect;
import org.cottontack.core.task.WorkerEvent;

/**
 * Sends orders to workers over HTTP. Any order may be lost or answered late. All orders are
 * idempotent.
 */
public final class HttpWorkers {

  private static final long TIMEOUT_MILLIS = 2_000;

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
  public HttpWorkers(HttpClient client, LongSupplier clock, Consumer<Event> events) {
    this.client = client;
    this.clock = clock;
    this.events = events;
  }

  /** Polls a worker and renews its leases. The report is delivered as an event. */
  public void poll(TaskEffect.PollWorker poll) {
    WorkerMessages.Poll body =
        new WorkerMessages.Poll(
            poll.renew().stream()
                .map(
                    r ->
                        new WorkerMessages.Renew(
                            r.run().task(), r.run().attempt(), r.leaseMillis()))
                .toList(),
            poll.forget().stream()
                .map(run -> new WorkerMessages.Attempt(run.task(), run.attempt()))
                .toList());
    client.call(
        spec(poll.address(), "/v1/poll", body).onlyIf(() -> clock.getAsLong() < poll.validUntil()),
        result -> polled(poll, result));
  }

  private void polled(TaskEffect.PollWorker poll, HttpResult result) {
    if (!result.is(200)) {
      return;
    }
    try {
      WorkerMessages.Report report = Json.read(result.text(), WorkerMessages.Report.class);
      events.accept(
          new WorkerEvent.Reported(
              poll.worker(),
              poll.askedAt(),
              report.boot(),
              report.clock(),
              report.runs().stream().map(HttpWorkers::runReport).toList()));
    } catch (AdapterException e) {
      // An unreadable report is treated as no report, which is the safe assumption.
      return;
    }
  }

  private static RunReport runReport(WorkerMessages.RunState state) {
    return new RunReport(
        new Run(state.task(), state.attempt()),
        state.status(),
        state.usage(),
        state.checkpoint(),
        state.outcome());
  }

  /**
   * Orders a worker to start a run. A readable response is delivered as an event. If the response
   * is lost, later reports show whether the run started.
   */
  public void start(TaskEffect.StartRun order) {
    WorkerMessages.Start body =
        new WorkerMessages.Start(
            order.run().task(),
            order.run().attempt(),
            order.boot(),
            order.expiresAt(),
            order.row(),
            order.input(),
            order.checkpoint(),
            order.demand(),
            order.leaseMillis());
    client.call(
        spec(order.address(), "/v1/start", body)
            .onlyIf(() -> clock.getAsLong() < order.validUntil()),
        result -> started(order, result));
  }

  private void started(TaskEffect.StartRun order, HttpResult result) {
    if (!result.is(200)) {
      return;
    }
    try {
      WorkerMessages.Started response = Json.read(result.text(), WorkerMessages.Started.class);
      events.accept(
          new WorkerEvent.StartAnswered(
              order.worker(), order.run(), response.accepted(), response.reason()));
    } catch (AdapterException e) {
      // Treated as a lost response: the worker's reports will show whether the run started.
      return;
    }
  }

  /** Orders a worker to stop a run. The worker's reports show when the run has stopped. */
  public void stop(TaskEffect.StopRun order) {
    WorkerMessages.Attempt body =
        new WorkerMessages.Attempt(order.run().task(), order.run().attempt());
    client.call(
        spec(order.address(), "/v1/stop", body)
            .onlyIf(() -> clock.getAsLong() < order.validUntil()),
        result -> {});
  }

  private static HttpClient.Spec spec(String address, String path, Object body) {
    return HttpClient.Spec.post(Address.parse(address), path, Json.payload(body), TIMEOUT_MILLIS);
  }
}
