package org.cottontack.daemon;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cottontack.core.Effect;
import org.cottontack.core.Event;
import org.cottontack.core.Moment;
import org.cottontack.core.Scheduler;
import org.cottontack.core.State;
import org.cottontack.core.Step;

/** A single thread that feeds events to the reducer and carries out its effects in order. */
public final class Engine implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(Engine.class);
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final ScheduledExecutorService thread =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread created = new Thread(task, "engine");
            created.setDaemon(true);
            return created;
          });
  private final Consumer<Effect> effects;
  private final Consumer<Event> observer;
  private volatile State state;

  /**
   * Creates an engine; nothing happens before the first event.
   *
   * @param initial the initial state
   * @param effects carries out effects; must not block
   * @param observer is called with every event, for metrics
   */
  public Engine(State initial, Consumer<Effect> effects, Consumer<Event> observer) {
    this.state = initial;
    this.effects = effects;
    this.observer = observer;
  }

  /** Returns the process's monotonic clock in milliseconds. */
  public static long mono() {
    return System.nanoTime() / NANOS_PER_MILLI;
  }

  /** Returns the current monotonic and wall-clock time. */
  public static Moment now() {
    return new Moment(mono(), System.currentTimeMillis());
  }

  /** Queues an event for the engine; after the engine was closed, the event is dropped. */
  public void post(Event event) {
    try {
      thread.execute(() -> reduce(event));
    } catch (RejectedExecutionException e) {
      LOG.debug("the engine is closed; dropped event {}", event.getClass().getSimpleName());
    }
  }

  /**
   * Queues an event for the engine after a delay; after the engine was closed, the event is
   * dropped.
   */
  public void postAfter(long millis, Event event) {
    try {
      thread.schedule(() -> reduce(event), millis, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      LOG.debug("the engine is closed; dropped event {}", event.getClass().getSimpleName());
    }
  }

  /** Returns the state after the last handled event. */
  public State state() {
    return state;
  }

  private void reduce(Event event) {
    try {
      observer.accept(event);
      Step step = Scheduler.reduce(state, now(), event);
      state = step.state();
      step.effects().forEach(effects);
    } catch (RuntimeException e) {
      // A failure in one event must not end the thread, because it handles all other events too.
      // The state before the event stays in force.
      LOG.error("failed to handle event {}", event, e);
    }
  }

  @Override
  public void close() {
    thread.shutdownNow();
  }
}
