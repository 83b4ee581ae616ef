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

/** Polls workers, renews leases and records what became of each attempt. */
final class Watching {

  private static final long POLL_MILLIS = 500;

  /** A worker with nothing new is asked less often; still twice before it counts as silent. */
  private static final long QUIET_POLL_MILLIS = 2_000;

  /** An attempt ordered so recently may end or change at any moment. */
  private static final long YOUNG_MILLIS = 10_000;

  private static final int MAX_FAILED_WORKERS = 3;

  private Watching() {}

  static Step pollDue(State state, TaskEvent.PollDue event) {
    Step step = Step.of(state);
    if (state.ownership().mayAct(state.mono())) {
      List<WorkerView> owned =
          state.fleet().ownedWorkers().filter(worker -> due(state, worker)).toList();
      step = Step.fold(state, owned, Watching::poll);
    }
    return step.with(new Effect.After(POLL_MILLIS, event));
  }

  private static boolean due(State state, WorkerView worker) {
    return worker.silent(state.mono())
        || worker.leaving()
        || state.mono() - worker.polledAt() >= QUIET_POLL_MILLIS
        || state.tasks().on(worker.id()).anyMatch(view -> mayChange(state, view));
  }

  private static boolean mayChange(State state, TaskView view) {
    return view.doing() != TaskView.Doing.RUNNING
        || view.record().cancelAsked()
        || state.mono() - view.orderedAt() < YOUNG_MILLIS;
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
    WorkerView asked = worker.polled(state.mono());
    State next = state.with(state.fleet().with(renews ? asked.renewed(state.mono()) : asked));
    return Step.of(next, poll).then(s -> requeueLapsed(s, worker));
  }

  /**
   * A silent worker may be dead, cut off or paused. Its attempts may still run until the last
   * renewal that can have reached it has run out; only then may a task be placed again.
   */
  private static Step requeueLapsed(State state, WorkerView worker) {
    if (!worker.silent(state.mono()) || !state.tasks().loaded().contains(worker.id())) {
      return Step.of(state);
    }
    List<TaskView> lapsed =
        state
            .tasks()
            .on(worker.id())
            .filter(view -> view.record().placedOn(worker.id()))
            .filter(view -> view.doing() != TaskView.Doing.WRITING)
            .filter(view -> state.mono() >= lapseAt(state, worker, view))
            .toList();
    return Step.fold(state, lapsed, (s, view) -> lost(s, view, "lease lapsed"));
  }

  private static long lapseAt(State state, WorkerView worker, TaskView view) {
    long lastSent = Math.max(worker.renewSentAt(), view.orderedAt());
    return lastSent
        + state.settings().orderLifetime()
        + view.record().leaseMillis()
        + state.settings().driftMargin();
  }

  /**
   * Nobody knows whether the attempt reached its end before it was lost. Only a task that may
   * safely run twice goes on; for any other, a second run could repeat what the first one did.
   */
  private static Step lost(State state, TaskView view, String why) {
    TaskRecord record = view.record();
    return record.repeatable()
        ? requeue(state, view, why)
        : Transition.write(state, view, record.ended(TaskPhase.IN_DOUBT, why));
  }

  private static Step requeue(State state, TaskView view, String why) {
    TaskRecord record = view.record();
    TaskRecord next =
        record.cancelAsked()
            ? record.ended(TaskPhase.CANCELLED, why)
            : record.queuedAgain(view.checkpoint());
    return Transition.write(state, view, next)
        .with(new Effect.Note("task.requeued", record.run().toString(), why));
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
    next = next.with(next.tasks().forgetting(seen.id(), stillListed(next, seen, runs)));
    return Step.fold(next, event.runs(), (s, report) -> explain(s, seen, report))
        .then(s -> missing(s, seen, event, runs));
  }

  private static PSet<Run> stillListed(State state, WorkerView worker, Map<Run, RunReport> runs) {
    return HashTreePSet.from(
        state.tasks().toForget(worker.id()).stream().filter(runs::containsKey).toList());
  }

  private static Step explain(State state, WorkerView worker, RunReport report) {
    TaskView view = state.tasks().tasks().get(report.run().task());
    boolean known =
        view != null
            && view.record().placedOn(worker.id())
            && view.record().run().equals(report.run());
    if (known) {
      return view.doing() == TaskView.Doing.WRITING
          ? Step.of(state)
          : follow(state, worker, view.measured(report), report);
    }
    boolean settled =
        !state.tasks().loaded().contains(worker.id())
            || state.tasks().toForget(worker.id()).contains(report.run());
    return settled ? Step.of(state) : Loading.readStray(state, worker.id(), report);
  }

  private static Step follow(State state, WorkerView worker, TaskView view, RunReport report) {
    return switch (report.status()) {
      case RUNNING -> running(state, worker, view);
      case FINISHED ->
          workerDid(state, worker, true)
              .then(s -> end(s, view, TaskPhase.FINISHED, report.outcome()));
      case FAILED -> workerDid(state, worker, false).then(s -> failed(s, view, report.outcome()));
      case STOPPED -> requeue(state, view, "stopped on its worker");
    };
  }

  private static Step running(State state, WorkerView worker, TaskView view) {
    boolean unwanted = view.record().cancelAsked() || worker.leaving();
    if (unwanted) {
      TaskView stopping = view.doing(TaskView.Doing.STOPPING);
      return stop(state.with(state.tasks().put(stopping)), worker, view.record().run());
    }
    return Step.of(state.with(state.tasks().put(view.doing(TaskView.Doing.RUNNING))));
  }

  static Step stop(State state, WorkerView worker, Run run) {
    return Step.of(
        state,
        new TaskEffect.StopRun(worker.id(), worker.address(), state.ownership().actsUntil(), run));
  }

  private static Step workerDid(State state, WorkerView worker, boolean good) {
    return Step.of(state.with(state.fleet().with(worker.taskEnded(good, state.mono()))));
  }

  private static Step end(State state, TaskView view, TaskPhase phase, String outcome) {
    return Transition.write(state, view, view.record().ended(phase, outcome));
  }

  private static Step failed(State state, TaskView view, String reason) {
    TaskRecord next = view.record().failedHere();
    if (next.cancelAsked()) {
      return end(state, view, TaskPhase.CANCELLED, reason);
    }
    return next.failedOn().size() >= MAX_FAILED_WORKERS
        ? Transition.write(state, view, next.ended(TaskPhase.FAILED, reason))
        : Transition.write(state, view, next);
  }

  /**
   * An attempt the worker does not list is not there, provided no start order for it can still be
   * on the wire: orders expire by the worker's own clock.
   */
  private static Step missing(
      State state, WorkerView worker, WorkerEvent.Reported event, Map<Run, RunReport> runs) {
    if (!state.tasks().loaded().contains(worker.id())) {
      return Step.of(state);
    }
    long margin = state.settings().orderLifetime() + state.settings().driftMargin();
    List<TaskView> gone =
        state
            .tasks()
            .on(worker.id())
            .filter(view -> view.record().placedOn(worker.id()))
            .filter(view -> view.doing() != TaskView.Doing.WRITING)
            .filter(view -> !runs.containsKey(view.record().run()))
            .filter(view -> event.askedAt() >= view.orderedAt() + margin)
            .toList();
    return Step.fold(state, gone, (s, view) -> lost(s, view, "not on its worker"));
  }
}
