package org.cottontack.core.task;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cottontack.core.Effect;
import org.cottontack.core.State;
import org.cottontack.core.Step;
import org.cottontack.core.fleet.WorkerView;
import org.cottontack.core.id.InstanceId;
import org.cottontack.core.id.TeamId;
import org.cottontack.core.ownership.OwnershipPhase;
import org.cottontack.core.table.RowSpec;
import org.cottontack.core.table.TeamSpec;

/** Chooses workers for waiting tasks and orders the start once the placement is recorded. */
final class Placing {

  private static final long PLACE_MILLIS = 100;
  private static final long ASK_OTHERS_MILLIS = 1_000;
  private static final long LIST_SETTLED_MILLIS = 5_000;

  /** Most placements recorded in one round, so that a wave cannot starve other writes. */
  private static final int MAX_PLACEMENTS = 16;

  private static final Comparator<TaskView> ORDER =
      Comparator.<TaskView, Boolean>comparing(view -> !view.record().urgent())
          .thenComparing(view -> view.record().deadline())
          .thenComparing(view -> view.record().id());

  private Placing() {}

  static Step placeDue(State state, TaskEvent.PlaceDue event) {
    Step step = mayPlace(state) ? placeWaiting(state) : Step.of(state);
    return step.with(new Effect.After(PLACE_MILLIS, event));
  }

  private static boolean mayPlace(State state) {
    return state.ownership().mayAct(state.mono())
        && state.ownership().phase() == OwnershipPhase.MEMBER
        && state.table().version() > 0
        && !state.store().unavailable();
  }

  private static Step placeWaiting(State state) {
    List<TaskView> waiting =
        state.tasks().tasks().values().stream()
            .filter(TaskView::waiting)
            .sorted(ORDER)
            .limit(MAX_PLACEMENTS)
            .toList();
    return Step.fold(state, waiting, Placing::place);
  }

  private static Step place(State state, TaskView view) {
    TaskRecord record = view.record();
    if (record.cancelAsked()) {
      return Transition.write(
          state, view, record.ended(TaskPhase.CANCELLED, "cancelled while it waited"));
    }
    if (neverFits(state, record)) {
      return Transition.write(
          state,
          view,
          record.ended(TaskPhase.NEVER_RUNNABLE, "no worker can hold " + record.demand()));
    }
    return choose(state, record)
        .map(worker -> placeOn(state, view, worker))
        .orElseGet(() -> askAnother(state, view));
  }

  private static Step placeOn(State state, TaskView view, WorkerView worker) {
    long lease = state.settings().taskLease();
    return Transition.write(state, view, view.record().placed(worker.id(), lease));
  }

  /** Judged against every listed worker, free or not, and only once the list had time to settle. */
  private static boolean neverFits(State state, TaskRecord record) {
    boolean settled =
        state.fleet().listedAt() >= 0
            && !state.fleet().workers().isEmpty()
            && state.now().wall() - record.submittedAt() >= LIST_SETTLED_MILLIS;
    return settled
        && state.fleet().workers().values().stream()
            .noneMatch(worker -> record.demand().fitsIn(worker.capacity()));
  }

  private static Optional<WorkerView> choose(State state, TaskRecord record) {
    if (overQuota(state, record)) {
      return Optional.empty();
    }
    return state
        .fleet()
        .ownedWorkers()
        .filter(worker -> usable(state, worker, record))
        .filter(worker -> fits(state, worker, record))
        .min(
            Comparator.<WorkerView>comparingDouble(worker -> load(state, worker))
                .thenComparing(WorkerView::id));
  }

  private static boolean usable(State state, WorkerView worker, TaskRecord record) {
    return worker.takesTasks(state.mono())
        && state.tasks().loaded().contains(worker.id())
        && state.tasks().strays(worker.id()).isEmpty()
        && !record.failedOn().contains(worker.id())
        && !(worker.onProbation() && state.tasks().on(worker.id()).findAny().isPresent());
  }

  private static boolean fits(State state, WorkerView worker, TaskRecord record) {
    return occupied(state, worker).plus(record.demand()).fitsIn(worker.capacity());
  }

  private static double load(State state, WorkerView worker) {
    return occupied(state, worker).shareOf(worker.capacity());
  }

  private static Demand occupied(State state, WorkerView worker) {
    return state.tasks().on(worker.id()).map(TaskView::occupied).reduce(Demand.NONE, Demand::plus);
  }

  private static boolean overQuota(State state, TaskRecord record) {
    Optional<RowSpec> row = state.table().row(record.row());
    Optional<TeamSpec> team = state.table().record().content().team(record.team());
    if (row.isEmpty() || team.isEmpty()) {
      return true;
    }
    List<TaskView> running =
        state.tasks().tasks().values().stream().filter(v -> v.occupies() != null).toList();
    long ofRow = running.stream().filter(v -> v.record().row().equals(record.row())).count();
    return ofRow >= row.get().maxInFlight() || overTeam(state, record, team.get(), running);
  }

  /** Each member uses its even share of a team's quota, and at least one task at a time. */
  private static boolean overTeam(
      State state, TaskRecord record, TeamSpec team, List<TaskView> running) {
    int members = Math.max(1, state.ownership().assignment().members().size());
    int used =
        running.stream()
            .filter(v -> sameTeam(v, team.name()))
            .mapToInt(v -> v.record().demand().cpuMillis())
            .sum();
    int wanted = used + record.demand().cpuMillis();
    return wanted > team.maxCpuMillis() || (used > 0 && wanted > team.maxCpuMillis() / members);
  }

  private static boolean sameTeam(TaskView view, TeamId team) {
    return view.record().team().equals(team);
  }

  /** A task that fits no worker of this instance is shown to the others, one after another. */
  private static Step askAnother(State state, TaskView view) {
    boolean due = state.mono() - view.orderedAt() >= ASK_OTHERS_MILLIS;
    List<InstanceId> others = state.ownership().others().stream().sorted().toList();
    if (!due || others.isEmpty() || state.mono() < view.keepUntil()) {
      return Step.of(state);
    }
    long turn = state.mono() / ASK_OTHERS_MILLIS;
    InstanceId other = others.get((int) Math.floorMod(turn, (long) others.size()));
    TaskView asked = view.ordered(TaskView.Doing.NOTHING, state.mono());
    return Loading.notice(state.with(state.tasks().put(asked)), other, view.record().id());
  }

  /** Orders the start of a recorded attempt, if this process may still act for the worker. */
  static Step start(State state, TaskView view) {
    TaskRecord record = view.record();
    WorkerView worker = state.fleet().workers().get(record.worker());
    boolean may = worker != null && worker.owned() && state.ownership().mayAct(state.mono());
    if (!may) {
      return Step.of(state);
    }
    long expiresAt = state.mono() + worker.clockOffset() + state.settings().orderLifetime();
    TaskEffect order =
        new TaskEffect.StartRun(
            worker.id(),
            worker.address(),
            worker.boot(),
            state.ownership().actsUntil(),
            expiresAt,
            record.run(),
            record.row(),
            record.input(),
            record.checkpoint(),
            record.demand(),
            record.leaseMillis());
    TaskView starting = view.ordered(TaskView.Doing.STARTING, state.mono());
    return Step.of(state.with(state.tasks().put(starting)), order);
  }

  /** A refused start is known not to run; a lost answer is left to the worker's next reports. */
  static Step startAnswered(State state, WorkerEvent.StartAnswered event) {
    TaskView view = state.tasks().tasks().get(event.run().task());
    boolean current =
        view != null
            && view.doing() == TaskView.Doing.STARTING
            && view.record().run().equals(event.run());
    if (!current) {
      return Step.of(state);
    }
    if (event.accepted()) {
      return Step.of(
          state.with(state.tasks().put(view.doing(TaskView.Doing.RUNNING))),
          new Effect.Note("task.started", event.run().toString(), "worker " + event.worker()));
    }
    return Transition.write(state, view, view.record().queuedAgain(view.checkpoint()))
        .with(new Effect.Note("task.start_refused", event.run().toString(), event.reason()));
  }
}
