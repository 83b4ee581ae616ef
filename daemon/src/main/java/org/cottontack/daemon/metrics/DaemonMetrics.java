package org.cottontack.daemon.metrics;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cottontack.core.Effect;
import org.cottontack.core.Event;
import org.cottontack.core.State;
import org.cottontack.core.request.Ran;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramResetOnSnapshotReservoir;

/** The metrics of a process. Their names are stable and listed in {@code docs/OPERATIONS.md}. */
public final class DaemonMetrics {

  private final MetricRegistry registry = new MetricRegistry();

  /** Creates the metrics, with gauges that read the state of the engine. */
  public DaemonMetrics(Supplier<State> state) {
    gauge("requests.open", () -> state.get().requests().open().size());
    gauge("requests.waiting", () -> state.get().requests().waiting());
    gauge("slots.held", () -> state.get().fleet().heldSlots());
    gauge("slots.free", () -> state.get().fleet().freeSlots(state.get().mono()));
    gauge("tasks.known", () -> state.get().tasks().tasks().size());
    gauge("workers.owned", () -> state.get().fleet().ownedWorkers().count());
    gauge("table.version", () -> state.get().table().version());
    gauge("ownership.epoch", () -> state.get().ownership().assignment().epoch());
    gauge("store.unanswered", () -> state.get().store().failures());
  }

  private void gauge(String name, Supplier<Number> value) {
    registry.gauge(name, () -> value::get);
  }

  /** Returns the registry. */
  public MetricRegistry registry() {
    return registry;
  }

  /** Counts an event by its type. */
  public void event(Event event) {
    registry.counter("events." + name(event.getClass())).inc();
  }

  /** Counts an effect by its type. */
  public void effect(Effect effect) {
    registry.counter("effects." + name(effect.getClass())).inc();
  }

  /** Records the time from the arrival of a request to its final answer. */
  public void answered(Ran ran, long nanos) {
    registry
        .timer(
            "requests." + ran.word(), () -> new Timer(new HdrHistogramResetOnSnapshotReservoir()))
        .update(nanos, TimeUnit.NANOSECONDS);
  }

  private static String name(Class<?> type) {
    return type.getSimpleName().toLowerCase(Locale.ROOT);
  }
}
