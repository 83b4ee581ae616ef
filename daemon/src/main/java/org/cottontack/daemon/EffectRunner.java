package org.cottontack.daemon;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.cottontack.core.Effect;

/** Dispatches each effect to the adapter registered for its type. */
final class EffectRunner {

  private final Map<Class<? extends Effect>, Consumer<Effect>> runners = new HashMap<>();

  <E extends Effect> EffectRunner on(Class<E> type, Consumer<E> runner) {
    runners.put(type, effect -> runner.accept(type.cast(effect)));
    return this;
  }

  void run(Effect effect) {
    Consumer<Effect> runner = runners.get(effect.getClass());
    if (runner == null) {
      throw new IllegalStateException(
          "no adapter is registered for " + effect.getClass().getName());
    }
    runner.accept(effect);
  }
}
