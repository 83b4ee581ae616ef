package org.cottontack.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.cottontack.core.fleet.FleetReducer;
import org.cottontack.core.ownership.OwnershipReducer;
import org.cottontack.core.request.RequestReducer;
import org.cottontack.core.store.StoreReducer;
import org.cottontack.core.table.TableReducer;
import org.cottontack.core.task.TaskReducer;

/**
 * The reducer for all events. It is a pure function: it reads no clock, draws no random number and
 * does no input or output, so any run can be replayed from its events.
 */
public final class Scheduler {

  private static final List<Handlers> PARTS =
      List.of(
          StoreReducer.handlers(),
          OwnershipReducer.handlers(),
          TableReducer.handlers(),
          FleetReducer.handlers(),
          RequestReducer.handlers(),
          TaskReducer.handlers());

  private Scheduler() {}

  /**
   * Reduces one event, and then the events that it raises inside the core, in order.
   *
   * @param before the state before the event
   * @param now the time of the event
   * @param event what happened
   * @return the state after the event and the effects that leave the core
   */
  public static Step reduce(State before, Moment now, Event event) {
    State state = before.at(now);
    Deque<Event> pending = new ArrayDeque<>(List.of(event));
    List<Effect> effects = new ArrayList<>();
    while (!pending.isEmpty()) {
      Event next = pending.removeFirst();
      for (Handlers part : PARTS) {
        Step step = part.apply(state, next);
        state = step.state();
        step.effects().forEach(effect -> route(effect, pending, effects));
      }
    }
    return new Step(state, effects);
  }

  private static void route(Effect effect, Deque<Event> pending, List<Effect> effects) {
    if (effect instanceof Effect.Raise raise) {
      pending.addLast(raise.event());
    } else {
      effects.add(effect);
    }
  }
}
