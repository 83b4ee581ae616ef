package org.cottontack.standin.worker;

import org.cottontack.adapters.task.WorkerMessages;
import org.cottontack.core.task.RunReport;

/** One attempt on the stand-in of a worker; used under the worker's lock only. */
final class StandInRun {

  private final WorkerMessages.Start order;
  private final long startedAt;
  private final long from;
  private RunReport.Status status = RunReport.Status.RUNNING;
  private long leaseUntil;
  private long stoppedProgress;
  private String outcome;

  StandInRun(WorkerMessages.Start order, long now) {
    this.order = order;
    this.startedAt = now;
    this.from = order.checkpoint() == null ? 0 : Long.parseLong(order.checkpoint());
    this.leaseUntil = now + order.leaseMillis();
  }

  boolean is(String task, int attempt) {
    return order.task().value().equals(task) && order.attempt() == attempt;
  }

  boolean running() {
    return status == RunReport.Status.RUNNING;
  }

  WorkerMessages.Start order() {
    return order;
  }

  void renew(long until) {
    leaseUntil = until;
  }

  boolean lapsed(long now) {
    return running() && now >= leaseUntil;
  }

  boolean done(long now) {
    return running() && progress(now) >= Reconcile.millis(order.input());
  }

  void end(RunReport.Status how, String text, long now) {
    stoppedProgress = progress(now);
    status = how;
    outcome = text;
  }

  private long progress(long now) {
    return running() ? from + now - startedAt : stoppedProgress;
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
