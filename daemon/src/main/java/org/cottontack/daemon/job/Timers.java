package org.cottontack.daemon.job;

import org.cottontack.core.Moment;

/** A clock and timers; all tasks run one after the other on one thread. */
public interface Timers {

  /** Returns the time now. */
  Moment now();

  /** Runs something later, once. */
  void after(long millis, Runnable task);

  /** Runs something soon. */
  default void soon(Runnable task) {
    after(0, task);
  }
}
