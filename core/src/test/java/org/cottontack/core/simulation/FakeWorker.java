package org.cottontack.core.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cottontack.core.task.Demand;
import org.cottontack.core.task.Run;
import org.cottontack.core.task.RunReport;
import org.cottontack.core.task.TaskEffect;

/** A worker that carries out orders under leases and records every attempt that it started. */
public final class FakeWorker {

  private final String name;
  private final Demand capacity;
  private final Simulation simulation;
  private final Map<Run, Running> runs = new LinkedHashMap<>();
  private final List<Run> started = new ArrayList<>();
  private String boot = "boot-1";

  /** Whether orders reach it. */
  public boolean receivesOrders = true;

  /** Whether its answers reach the entry instances. */
  public boolean answers = true;

  /** Whether every attempt that it starts fails at once. */
  public boolean failsAll;

  private static final class Running {
    private final Demand demand;
    private final String checkpoint;
    private RunReport.Status status = RunReport.Status.RUNNING;
    private long leaseUntil;

    Running(Demand demand, String checkpoint, long leaseUntil) {
      this.demand = demand;
      this.checkpoint = checkpoint;
      this.leaseUntil = leaseUntil;
    }
  }

  FakeWorker(String name, Demand capacity, Simulation simulation) {
    this.name = name;
    this.capacity = capacity;
    this.simulation = simulation;
  }

  Demand capacity() {
    return capacity;
  }

  /** Returns every attempt that was ever started here. */
  public List<Run> started() {
    return started;
  }

  /** Returns whether a task runs here now. */
  public boolean running(String task) {
    return runs.entrySet().stream()
        .filter(e -> e.getKey().task().value().equals(task))
        .anyMatch(e -> e.getValue().status == RunReport.Status.RUNNING);
  }

  /** Finishes every running attempt of a task. */
  public void finish(String task) {
    runs.entrySet().stream()
        .filter(e -> e.getKey().task().value().equals(task))
        .filter(e -> e.getValue().status == RunReport.Status.RUNNING)
        .forEach(e -> e.getValue().status = RunReport.Status.FINISHED);
  }

  /** Makes it run an attempt that no instance ordered. */
  public void inject(Run run, Demand demand) {
    runs.put(run, new Running(demand, null, Long.MAX_VALUE));
  }

  /** Restarts the worker, which loses all its attempts. */
  public void restart() {
    runs.clear();
    boot += "+";
  }

  void tick(long now) {
    runs.values().stream()
        .filter(run -> run.status == RunReport.Status.RUNNING && now >= run.leaseUntil)
        .forEach(run -> run.status = RunReport.Status.STOPPED);
  }

  boolean start(TaskEffect.StartRun order, long now) {
    if (!order.boot().equals(boot) || now >= order.expiresAt()) {
      return false;
    }
    if (!runs.containsKey(order.run())) {
      Running run = new Running(order.demand(), order.checkpoint(), now + order.leaseMillis());
      run.status = failsAll ? RunReport.Status.FAILED : RunReport.Status.RUNNING;
      runs.put(order.run(), run);
      started.add(order.run());
      simulation.taskStarted(order.run().task().value(), name);
      checkCapacity();
    }
    return true;
  }

  private void checkCapacity() {
    Demand used =
        runs.values().stream()
            .filter(run -> run.status == RunReport.Status.RUNNING)
            .map(run -> run.demand)
            .reduce(Demand.NONE, Demand::plus);
    if (!used.fitsIn(capacity)) {
      simulation.violation(name + " holds " + used + " of " + capacity);
    }
  }

  void stop(Run run) {
    Running known = runs.get(run);
    if (known != null && known.status == RunReport.Status.RUNNING) {
      known.status = RunReport.Status.STOPPED;
    }
  }

  void poll(TaskEffect.PollWorker poll, long now) {
    poll.forget().forEach(run -> runs.computeIfPresent(run, (r, known) -> ended(known)));
    poll.renew().stream()
        .filter(renewal -> runs.containsKey(renewal.run()))
        .forEach(renewal -> runs.get(renewal.run()).leaseUntil = now + renewal.leaseMillis());
  }

  private static Running ended(Running known) {
    return known.status == RunReport.Status.RUNNING ? known : null;
  }

  String boot() {
    return boot;
  }

  List<RunReport> reports() {
    return runs.entrySet().stream().map(e -> report(e.getKey(), e.getValue())).toList();
  }

  private static RunReport report(Run run, Running state) {
    String checkpoint = state.checkpoint == null ? "c" + run.attempt() : state.checkpoint + "+";
    return new RunReport(run, state.status, Demand.NONE, checkpoint, state.status.word());
  }
}
