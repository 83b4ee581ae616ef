package org.cottontack.daemon.job;

import java.util.Map;
import org.cottontack.core.Moment;

/** A clock and timers; all tasks run one after the other on a single thread. */
public interface Timers {

  /** Returns the current time. */
  Moment now();

  /** Runs a task once, after a delay. */
  void after(long millis, Runnable task);

  /** Runs a task as soon as possible, after the current one. */
  default void soon(Runnable task) {
    after(0, task);
  }

  /** Returns a clock for the time that work takes, in nanoseconds. */
  default long nanoTime() {
    return System.nanoTime();
  }

  /**
   * Returns for how long the event loops of this process and the process itself have been busy, in
   * nanoseconds, by name. None by default.
   */
  default Map<String, Long> spentNanos() {
    return Map.of();
  }
}
