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

/** Chooses workers for waiting tasks and orders their starts once the placement is recorded. */
final class Placing {

  private static final long PLACE_MILLIS = 100;
  private static final long NOTIFY_OTHERS_MILLIS = 1_000;
  private static final long LIST_STABLE_MILLIS = 5_000;

  /**
   * Maximum placements recorded in one round, so that many tasks at once cannot starve other
   * writes.
   */
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
        .orElseGet(() -> notifyAnother(state, view));
  }

  private static Step placeOn(State state, TaskView view, WorkerView worker) {
    long lease = state.settings().taskLease();
    return Transition.write(state, view, view.record().placed(worker.id(), lease));
  }

  /**
   * Returns whether a task is larger than the whole capacity of every listed worker, used or not.
   * This is decided only {@value #LIST_STABLE_MILLIS} ms after the submission, because the list of
   * workers may be incomplete before.
   */
  private static boolean neverFits(State state, TaskRecord record) {
    boolean listStable =
        state.fleet().listedAt() >= 0
            && !state.fleet().workers().isEmpty()
            && state.now().wall() - record.submittedAt() >= LIST_STABLE_MILLIS;
    return listStable
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

  /**
   * Returns whether a task may be placed on a worker. The capacity in use there is known only if
   * the records of its tasks were read and it runs no orphans.
   */
  private static boolean usable(State state, WorkerView worker, TaskRecord record) {
    return worker.takesTasks(state.mono())
        && state.tasks().loaded().contains(worker.id())
        && state.tasks().orphans(worker.id()).isEmpty()
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
    return ofRow >= row.get().maxInFlight() || overTeamQuota(state, record, team.get(), running);
  }

  /**
   * Returns whether a task would exceed its team's quota or this instance's part of it. Each member
   * may use an equal share of the quota, and may always run one task of the team within the quota.
   */
  private static boolean overTeamQuota(
      State state, TaskRecord record, TeamSpec team, List<TaskView> running) {
    int members = Math.max(1, state.ownership().assignment().members().size());
    int used =
        running.stream()
            .filter(v -> sameTeam(v, team.name()))
            .mapToInt(v -> v.record().demand().cpuMillis())
            .sum();
    int needed = used + record.demand().cpuMillis();
    return needed > team.maxCpuMillis() || (used > 0 && needed > team.maxCpuMillis() / members);
  }

  private static boolean sameTeam(TaskView view, TeamId team) {
    return view.record().team().equals(team);
  }

  /**
   * Notifies another instance of a task that fits no worker of this one. The others are notified in
   * turn, one every {@value #NOTIFY_OTHERS_MILLIS} ms.
   */
  private static Step notifyAnother(State state, TaskView view) {
    boolean due = state.mono() - view.orderedAt() >= NOTIFY_OTHERS_MILLIS;
    List<InstanceId> others = state.ownership().others().stream().sorted().toList();
    if (!due || others.isEmpty() || state.mono() < view.keepUntil()) {
      return Step.of(state);
    }
    long turn = state.mono() / NOTIFY_OTHERS_MILLIS;
    InstanceId other = others.get((int) Math.floorMod(turn, (long) others.size()));
    TaskView notified = view.ordered(TaskView.Activity.NOTHING, state.mono());
    return Loading.sendNotice(state.with(state.tasks().put(notified)), other, view.record().id());
  }

  /** Orders the start of a recorded attempt if this process may still send orders to the worker. */
  static Step start(State state, TaskView view) {
    TaskRecord record = view.record();
    WorkerView worker = state.fleet().workers().get(record.worker());
    boolean allowed = worker != null && worker.owned() && state.ownership().mayAct(state.mono());
    if (!allowed) {
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
    TaskView starting = view.ordered(TaskView.Activity.STARTING, state.mono());
    return Step.of(state.with(state.tasks().put(starting)), order);
  }

  /**
   * Handles a worker's answer to a start order. A refused attempt does not run, so its task is
   * queued again. Where the answer is lost, the worker's next reports decide.
   */
  static Step startAnswered(State state, WorkerEvent.StartAnswered event) {
    TaskView view = state.tasks().tasks().get(event.run().task());
    boolean current =
        view != null
            && view.activity() == TaskView.Activity.STARTING
            && view.record().run().equals(event.run());
    if (!current) {
      return Step.of(state);
    }
    if (event.accepted()) {
      return Step.of(
          state.with(state.tasks().put(view.activity(TaskView.Activity.RUNNING))),
          new Effect.Note("task.started", event.run().toString(), "worker " + event.worker()));
    }
    return Transition.write(state, view, view.record().requeued(view.checkpoint()))
        .with(new Effect.Note("task.start_refused", event.run().toString(), event.reason()));
  }
}
