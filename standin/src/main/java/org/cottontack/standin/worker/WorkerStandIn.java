package org.cottontack.standin.worker;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.cottontack.adapters.Address;
import org.cottontack.adapters.http.HttpCall;
import org.cottontack.adapters.http.HttpServer;
import org.cottontack.adapters.json.Json;
import org.cottontack.adapters.task.WorkerMessages;
import org.cottontack.core.task.Demand;
import org.cottontack.core.task.RunReport;
import org.cottontack.standin.ledger.Ledger;

/**
 * Stand-in of a worker, which runs tasks under leases. It refuses start orders for another boot and
 * expired ones, because the scheduler relies on these two checks only. It neither compares attempts
 * nor enforces its capacity; the ledger records an exceeded capacity as a violation.
 */
public final class WorkerStandIn implements AutoCloseable {

  private static final long TICK_MILLIS = 20;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final String name;
  private final Demand capacity;
  private final Ledger ledger;
  private final HttpServer server;
  private final List<StandInRun> runs = new ArrayList<>();
  private String boot = UUID.randomUUID().toString();
  private WorkerFault fault = WorkerFault.NONE;

  /** Starts the worker and listens at the given address. */
  public WorkerStandIn(
      EventLoopGroup group, Address address, String name, Demand capacity, Ledger ledger) {
    this.name = name;
    this.capacity = capacity;
    this.ledger = ledger;
    this.server = HttpServer.listen(group, address, this::serve);
    group.next().scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Sets the fault to simulate until this method is called again. */
  public synchronized void setFault(WorkerFault value) {
    fault = value;
  }

  /** Simulates a restart: all runs are lost, and the boot identifier changes. */
  public synchronized void restart() {
    runs.stream().filter(StandInRun::running).forEach(run -> recordEnd(run, "restart"));
    runs.clear();
    boot = UUID.randomUUID().toString();
  }

  /** Returns the address that the worker listens on. */
  public Address address() {
    return server.address();
  }

  private static long clock() {
    return System.nanoTime() / NANOS_PER_MILLI;
  }

  private synchronized void serve(HttpCall call) {
    if (fault == WorkerFault.CUT) {
      return;
    }
    String answer =
        switch (call.path()) {
          case "/v1/poll" -> poll(Json.read(call.text(), WorkerMessages.Poll.class));
          case "/v1/start" -> start(Json.read(call.text(), WorkerMessages.Start.class));
          case "/v1/stop" -> stop(Json.read(call.text(), WorkerMessages.Attempt.class));
          default -> "{}";
        };
    if (fault != WorkerFault.LOSES_ANSWERS) {
      call.json(200, answer);
    }
  }

  private String poll(WorkerMessages.Poll poll) {
    long now = clock();
    poll.forget()
        .forEach(
            f ->
                runs.removeIf(run -> !run.running() && run.matches(f.task().value(), f.attempt())));
    poll.renew()
        .forEach(
            r ->
                find(r.task().value(), r.attempt())
                    .ifPresent(run -> run.renew(now + r.leaseMillis())));
    return Json.write(
        new WorkerMessages.Report(boot, now, runs.stream().map(run -> run.state(now)).toList()));
  }

  private Optional<StandInRun> find(String task, int attempt) {
    return runs.stream().filter(run -> run.matches(task, attempt)).findFirst();
  }

  private String start(WorkerMessages.Start order) {
    if (!order.boot().equals(boot)) {
      return Json.write(new WorkerMessages.Started(false, "another boot"));
    }
    if (clock() >= order.expiresAt()) {
      return Json.write(new WorkerMessages.Started(false, "the order has expired"));
    }
    if (find(order.task().value(), order.attempt()).isEmpty()) {
      begin(order);
    }
    return Json.write(new WorkerMessages.Started(true, null));
  }

  private void begin(WorkerMessages.Start order) {
    long now = clock();
    StandInRun run = new StandInRun(order, now);
    runs.add(run);
    ledger.taskStarted(
        order.task().value(), order.attempt(), name, Reconcile.once(order.input()), now);
    Demand used =
        runs.stream()
            .filter(StandInRun::running)
            .map(r -> r.order().demand())
            .reduce(Demand.NONE, Demand::plus);
    if (!used.fitsIn(capacity)) {
      ledger.capacityExceeded(name, used + " of " + capacity);
    }
  }

  private String stop(WorkerMessages.Attempt order) {
    find(order.task().value(), order.attempt())
        .filter(StandInRun::running)
        .ifPresent(run -> end(run, RunReport.Status.STOPPED, "stopped by order"));
    return "{}";
  }

  private synchronized void tick() {
    long now = clock();
    for (StandInRun run : List.copyOf(runs)) {
      if (run.leaseExpired(now)) {
        end(run, RunReport.Status.STOPPED, "its lease lapsed");
      } else if (run.running() && shouldFail(run)) {
        end(run, RunReport.Status.FAILED, "it fails");
      } else if (run.done(now)) {
        end(run, RunReport.Status.FINISHED, Reconcile.differences(run.order().input()));
      }
    }
  }

  private boolean shouldFail(StandInRun run) {
    return fault == WorkerFault.FAILS_ALL || Reconcile.fails(run.order().input());
  }

  private void end(StandInRun run, RunReport.Status status, String outcome) {
    run.end(status, outcome, clock());
    recordEnd(run, status.word());
  }

  private void recordEnd(StandInRun run, String status) {
    ledger.taskEnded(run.order().task().value(), run.order().attempt(), status, clock());
  }

  @Override
  public void close() {
    server.close();
  }
}
