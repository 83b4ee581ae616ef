package org.cottontack.core;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiFunction;

/** The events that one part of the reducer handles, each with its handler. */
public final class Handlers {

  private final Map<Class<? extends Event>, BiFunction<State, Event, Step>> table =
      new LinkedHashMap<>();

  /** Adds a handler. Each part has at most one handler for an event type. */
  public <E extends Event> Handlers on(Class<E> type, BiFunction<State, E, Step> handler) {
    if (table.putIfAbsent(type, (state, event) -> handler.apply(state, type.cast(event))) != null) {
      throw new IllegalStateException("two handlers for " + type.getSimpleName());
    }
    return this;
  }

  /** Runs the handler of the event. Without a handler the state stays unchanged. */
  public Step apply(State state, Event event) {
    BiFunction<State, Event, Step> handler = table.get(event.getClass());
    return handler == null ? Step.of(state) : handler.apply(state, event);
  }
}
