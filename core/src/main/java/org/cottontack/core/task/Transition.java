package org.cottontack.core.task;

import java.util.List;
import org.cottontack.core.Effect;
import org.cottontack.core.State;
import org.cottontack.core.Step;
import org.cottontack.core.id.DataCentreId;
import org.cottontack.core.id.TaskId;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.store.Mutation;
import org.cottontack.core.store.Purpose;
import org.cottontack.core.store.StoreEvent;
import org.cottontack.core.store.StoreKey;

/**
 * Changes the record of a task with one conditional write, and sends the order that the change
 * allows only after the write took effect.
 */
final class Transition {

  private Transition() {}

  private record Change(TaskId task) implements Purpose {

    /** Starts and stops wait for these writes, so submissions and claims must not precede them. */
    @Override
    public boolean urgent() {
      return true;
    }
  }

  /**
   * Submits a change. Does nothing while the outcome of another change is pending, or if the task
   * may not change to the new phase.
   */
  static Step write(State state, TaskView view, TaskRecord next) {
    boolean allowed =
        view.activity() != TaskView.Activity.WRITING
            && (view.record().phase().mayBecome(next.phase())
                || view.record().phase() == next.phase());
    if (!allowed) {
      return Step.of(state);
    }
    List<Mutation> mutations = mutations(state.settings().dataCentre(), view, next);
    return Step.of(
        state.with(state.tasks().put(view.writing(next))),
        new Effect.Raise(new StoreEvent.Submit(mutations, new Change(next.id()))));
  }

  /**
   * Returns the mutations of a change. An ended task moves to a separate row, so that scans of the
   * live tasks stay small.
   */
  static List<Mutation> mutations(DataCentreId dataCentre, TaskView view, TaskRecord next) {
    StoreKey live = StoreKey.task(dataCentre, next.id());
    return next.phase().ended()
        ? List.of(
            Mutation.delete(live, view.version()),
            Mutation.put(StoreKey.endedTask(dataCentre, next.id()), 0, next))
        : List.of(Mutation.put(live, view.version(), next));
  }

  static Step settled(State state, StoreEvent.Settled event) {
    if (!(event.purpose() instanceof Change change)) {
      return Step.of(state);
    }
    TaskView view = state.tasks().tasks().get(change.task());
    if (view == null || view.next() == null) {
      return Step.of(state);
    }
    return event.applied() ? applied(state, view) : conflict(state, change.task());
  }

  /** Discards the view of a task whose record another process changed, and reads it again. */
  private static Step conflict(State state, TaskId task) {
    return Loading.read(state.with(state.tasks().remove(task)), task);
  }

  private static Step applied(State state, TaskView view) {
    TaskRecord before = view.record();
    TaskView now = view.written();
    TaskRecord after = now.record();
    State next = state.with(state.tasks().put(now));
    if (before.phase() == TaskPhase.PLACED && after.phase() != TaskPhase.PLACED) {
      next = forget(next, before.worker(), before.run());
    }
    if (after.phase().ended()) {
      next = next.with(next.tasks().remove(after.id()));
    }
    Effect logEvent =
        new Effect.Note("task." + after.phase().word(), after.id().value(), describe(after));
    return after.phase() == TaskPhase.PLACED
        ? Step.of(next, logEvent).then(s -> Placing.start(s, now))
        : Step.of(next, logEvent);
  }

  private static String describe(TaskRecord record) {
    return "attempt %d, worker %s, outcome %s"
        .formatted(record.attempt(), record.worker(), record.outcome());
  }

  /** Allows a worker to drop an attempt whose end is recorded. */
  static State forget(State state, WorkerId worker, Run run) {
    return state.with(state.tasks().withToForget(worker, state.tasks().toForget(worker).plus(run)));
  }
}
