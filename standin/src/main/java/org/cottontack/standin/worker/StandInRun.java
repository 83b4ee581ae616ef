package org.cottontack.standin.worker;

import org.cottontack.adapters.task.WorkerMessages;
import org.cottontack.core.task.RunReport;

/** One attempt of a task on the worker stand-in. Access is guarded by the worker's lock. */
final class StandInRun {

  private final WorkerMessages.Start order;
  private final long startedAt;
  private final long initialProgress;
  private RunReport.Status status = RunReport.Status.RUNNING;
  private long leaseEndMillis;
  private long finalProgress;
  private String outcome;

  StandInRun(WorkerMessages.Start order, long now) {
    this.order = order;
    this.startedAt = now;
    this.initialProgress = order.checkpoint() == null ? 0 : Long.parseLong(order.checkpoint());
    this.leaseEndMillis = now + order.leaseMillis();
  }

  boolean matches(String task, int attempt) {
    return order.task().value().equals(task) && order.attempt() == attempt;
  }

  boolean running() {
    return status == RunReport.Status.RUNNING;
  }

  WorkerMessages.Start order() {
    return order;
  }

  void renew(long endMillis) {
    leaseEndMillis = endMillis;
  }

  boolean leaseExpired(long now) {
    return running() && now >= leaseEndMillis;
  }

  boolean done(long now) {
    return running() && progress(now) >= Reconcile.durationMillis(order.input());
  }

  void end(RunReport.Status newStatus, String newOutcome, long now) {
    finalProgress = progress(now);
    status = newStatus;
    outcome = newOutcome;
  }

  private long progress(long now) {
    return running() ? initialProgress + now - startedAt : finalProgress;
  }

  WorkerMessages.RunState state(long now) {
    return new WorkerMessages.RunState(
        order.task(),
        order.attempt(),
        status,
        order.demand(),
        Long.toString(progress(now)),
        outcome);
  }
}
