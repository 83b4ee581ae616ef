package org.cottontack.core.task;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cottontack.core.Effect;
import org.cottontack.core.State;
import org.cottontack.core.Step;
import org.cottontack.core.fleet.WorkerView;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/** Polls workers, renews the leases of their attempts and records how each attempt ended. */
final class WorkerPolling {

  private static final long POLL_MILLIS = 500;

  /**
   * Interval between polls of a worker where no attempt is expected to change. It is short enough
   * for two polls before the worker counts as silent.
   */
  private static final long IDLE_POLL_MILLIS = 2_000;

  /**
   * Time after the last order about a task during which its worker is polled at the shorter
   * interval, because the attempt may end or change at any moment.
   */
  private static final long RECENT_ORDER_MILLIS = 10_000;

  private static final int MAX_FAILED_WORKERS = 3;

  private WorkerPolling() {}

  static Step pollDue(State state, TaskEvent.PollDue event) {
    Step step = Step.of(state);
    if (state.ownership().mayAct(state.mono())) {
      List<WorkerView> owned =
          state.fleet().ownedWorkers().filter(worker -> due(state, worker)).toList();
      step = Step.fold(state, owned, WorkerPolling::poll);
    }
    return step.with(new Effect.After(POLL_MILLIS, event));
  }

  private static boolean due(State state, WorkerView worker) {
    return worker.silent(state.mono())
        || worker.leaving()
        || state.mono() - worker.polledAt() >= IDLE_POLL_MILLIS
        || state.tasks().on(worker.id()).anyMatch(view -> mayChange(state, view));
  }

  private static boolean mayChange(State state, TaskView view) {
    return view.activity() != TaskView.Activity.RUNNING
        || view.record().cancelAsked()
        || state.mono() - view.orderedAt() < RECENT_ORDER_MILLIS;
  }

  private static Step poll(State state, WorkerView worker) {
    boolean renews = !worker.silent(state.mono());
    List<TaskEffect.Renewal> renewals =
        renews
            ? state
                .tasks()
                .on(worker.id())
                .filter(view -> view.record().placedOn(worker.id()))
                .map(v -> new TaskEffect.Renewal(v.record().run(), v.record().leaseMillis()))
                .toList()
            : List.of();
    TaskEffect poll =
        new TaskEffect.PollWorker(
            worker.id(),
            worker.address(),
            state.mono(),
            state.ownership().actsUntil(),
            renewals,
            List.copyOf(state.tasks().toForget(worker.id())));
    WorkerView polled = worker.polled(state.mono());
    State next = state.with(state.fleet().with(renews ? polled.renewed(state.mono()) : polled));
    return Step.of(next, poll).then(s -> requeueExpired(s, worker));
  }

  /**
   * Requeues the tasks of a silent worker whose leases have expired. The worker may be dead,
   * unreachable or paused, and its attempts may run until the last renewal that can have reached it
   * has expired. Before that, a second placement could run a task in two places.
   */
  private static Step requeueExpired(State state, WorkerView worker) {
    if (!worker.silent(state.mono()) || !state.tasks().loaded().contains(worker.id())) {
      return Step.of(state);
    }
    List<TaskView> expired =
        state
            .tasks()
            .on(worker.id())
            .filter(view -> view.record().placedOn(worker.id()))
            .filter(view -> view.activity() != TaskView.Activity.WRITING)
            .filter(view -> state.mono() >= leaseExpiresAt(state, worker, view))
            .toList();
    return Step.fold(state, expired, (s, view) -> lost(s, view, "lease lapsed"));
  }

  private static long leaseExpiresAt(State state, WorkerView worker, TaskView view) {
    long lastSent = Math.max(worker.renewSentAt(), view.orderedAt());
    return lastSent
        + state.settings().orderLifetime()
        + view.record().leaseMillis()
        + state.settings().driftMargin();
  }

  /**
   * Handles a lost attempt, which may have run to completion. Only a repeatable task is queued
   * again. Any other task ends in doubt, because a second run could repeat the effects of the
   * first.
   */
  private static Step lost(State state, TaskView view, String reason) {
    TaskRecord record = view.record();
    return record.repeatable()
        ? requeue(state, view, reason)
        : Transition.write(state, view, record.ended(TaskPhase.IN_DOUBT, reason));
  }

  private static Step requeue(State state, TaskView view, String reason) {
    TaskRecord record = view.record();
    TaskRecord next =
        record.cancelAsked()
            ? record.ended(TaskPhase.CANCELLED, reason)
            : record.requeued(view.checkpoint());
    return Transition.write(state, view, next)
        .with(new Effect.Note("task.requeued", record.run().toString(), reason));
  }

  static Step reported(State state, WorkerEvent.Reported event) {
    WorkerView worker = state.fleet().workers().get(event.worker());
    if (worker == null || !worker.owned() || event.askedAt() < worker.ownedSince()) {
      return Step.of(state);
    }
    WorkerView seen = worker.answered(event.boot(), event.clock() - state.mono(), state.mono());
    Map<Run, RunReport> runs =
        event.runs().stream().collect(Collectors.toMap(RunReport::run, Function.identity()));
    State next = state.with(state.fleet().with(seen));
    next = next.with(next.tasks().withToForget(seen.id(), stillListed(next, seen, runs)));
    return Step.fold(next, event.runs(), (s, report) -> handleReport(s, seen, report))
        .then(s -> handleMissing(s, seen, event, runs));
  }

  private static PSet<Run> stillListed(State state, WorkerView worker, Map<Run, RunReport> runs) {
    return HashTreePSet.from(
        state.tasks().toForget(worker.id()).stream().filter(runs::containsKey).toList());
  }

  private static Step handleReport(State state, WorkerView worker, RunReport report) {
    TaskView view = state.tasks().tasks().get(report.run().task());
    boolean known =
        view != null
            && view.record().placedOn(worker.id())
            && view.record().run().equals(report.run());
    if (known) {
      return view.activity() == TaskView.Activity.WRITING
          ? Step.of(state)
          : applyReport(state, worker, view.measured(report), report);
    }
    boolean ignored =
        !state.tasks().loaded().contains(worker.id())
            || state.tasks().toForget(worker.id()).contains(report.run());
    return ignored ? Step.of(state) : Loading.readOrphan(state, worker.id(), report);
  }

  private static Step applyReport(State state, WorkerView worker, TaskView view, RunReport report) {
    return switch (report.status()) {
      case RUNNING -> running(state, worker, view);
      case FINISHED ->
          recordTaskEnd(state, worker, true)
              .then(s -> end(s, view, TaskPhase.FINISHED, report.outcome()));
      case FAILED ->
          recordTaskEnd(state, worker, false).then(s -> failed(s, view, report.outcome()));
      case STOPPED -> requeue(state, view, "stopped on its worker");
    };
  }

  private static Step running(State state, WorkerView worker, TaskView view) {
    boolean mustStop = view.record().cancelAsked() || worker.leaving();
    if (mustStop) {
      TaskView stopping = view.activity(TaskView.Activity.STOPPING);
      return stop(state.with(state.tasks().put(stopping)), worker, view.record().run());
    }
    return Step.of(state.with(state.tasks().put(view.activity(TaskView.Activity.RUNNING))));
  }

  static Step stop(State state, WorkerView worker, Run run) {
    return Step.of(
        state,
        new TaskEffect.StopRun(worker.id(), worker.address(), state.ownership().actsUntil(), run));
  }

  private static Step recordTaskEnd(State state, WorkerView worker, boolean succeeded) {
    return Step.of(state.with(state.fleet().with(worker.taskEnded(succeeded, state.mono()))));
  }

  private static Step end(State state, TaskView view, TaskPhase phase, String outcome) {
    return Transition.write(state, view, view.record().ended(phase, outcome));
  }

  private static Step failed(State state, TaskView view, String reason) {
    TaskRecord next = view.record().requeuedAfterFailure();
    if (next.cancelAsked()) {
      return end(state, view, TaskPhase.CANCELLED, reason);
    }
    return next.failedOn().size() >= MAX_FAILED_WORKERS
        ? Transition.write(state, view, next.ended(TaskPhase.FAILED, reason))
        : Transition.write(state, view, next);
  }

  /**
   * Handles attempts that the worker does not list. Such an attempt does not run there, provided
   * that no start order for it can still be in flight. Orders expire by the worker's own clock, so
   * the margin is the lifetime of an order plus the clock drift.
   */
  private static Step handleMissing(
      State state, WorkerView worker, WorkerEvent.Reported event, Map<Run, RunReport> runs) {
    if (!state.tasks().loaded().contains(worker.id())) {
      return Step.of(state);
    }
    long margin = state.settings().orderLifetime() + state.settings().driftMargin();
    List<TaskView> missing =
        state
            .tasks()
            .on(worker.id())
            .filter(view -> view.record().placedOn(worker.id()))
            .filter(view -> view.activity() != TaskView.Activity.WRITING)
            .filter(view -> !runs.containsKey(view.record().run()))
            .filter(view -> event.askedAt() >= view.orderedAt() + margin)
            .toList();
    return Step.fold(state, missing, (s, view) -> lost(s, view, "not on its worker"));
  }
}
