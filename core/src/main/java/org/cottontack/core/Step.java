package org.cottontack.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Function;

/**
 * The result of reducing one event.
 *
 * @param state the state after the event
 * @param effects the effects to carry out, in order
 */
public record Step(State state, List<Effect> effects) {

  /** Keeps the effects immutable. */
  public Step {
    effects = List.copyOf(effects);
  }

  /** Returns a step with the given state and effects. */
  public static Step of(State state, Effect... effects) {
    return new Step(state, List.of(effects));
  }

  /** Continues from this step's state and appends the effects of {@code next}. */
  public Step then(Function<State, Step> next) {
    Step step = next.apply(state);
    return new Step(step.state, concat(effects, step.effects));
  }

  /** Appends effects without changing the state. */
  public Step with(Effect... more) {
    return new Step(state, concat(effects, List.of(more)));
  }

  /**
   * Applies {@code each} to the items in order, starting from a state, and collects the effects.
   */
  public static <T> Step fold(State start, Iterable<T> items, BiFunction<State, T, Step> each) {
    List<Effect> effects = new ArrayList<>();
    State state = start;
    for (T item : items) {
      Step step = each.apply(state, item);
      state = step.state;
      effects.addAll(step.effects);
    }
    return new Step(state, effects);
  }

  private static List<Effect> concat(List<Effect> first, List<Effect> second) {
    if (second.isEmpty()) {
      return first;
    }
    List<Effect> all = new ArrayList<>(first);
    all.addAll(second);
    return all;
  }
}
