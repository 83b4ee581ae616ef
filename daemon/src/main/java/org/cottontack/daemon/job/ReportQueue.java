package org.cottontack.daemon.job;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;
import org.cottontack.core.job.JobEvent;

/**
 * Passes answers to polls on in rounds of limited size. Answers of the store and of orders are
 * handled between two rounds, so a start whose placement is stored waits for one round at most,
 * however many workers report at the same time. Confined to the event loop.
 */
final class ReportQueue {

  /**
   * Number of answers in a round. A report takes up to 1 ms on the smallest instances, so a round
   * takes up to a tenth of the tightest objective.
   */
  static final int ROUND_SIZE = 25;

  private final Timers timers;
  private final Consumer<JobEvent> handler;
  private final Queue<JobEvent> waiting = new ArrayDeque<>();
  private boolean scheduled;

  /**
   * Creates an empty queue.
   *
   * @param handler handles one answer
   */
  ReportQueue(Timers timers, Consumer<JobEvent> handler) {
    this.timers = timers;
    this.handler = handler;
  }

  void add(JobEvent answer) {
    waiting.add(answer);
    schedule();
  }

  /** Passes all answers on that have arrived. */
  void handleAll() {
    while (!waiting.isEmpty()) {
      handler.accept(waiting.remove());
    }
  }

  private void schedule() {
    if (!scheduled) {
      scheduled = true;
      // A timer lets the event loop read its connections first; a task would run before that.
      timers.after(0, this::handleRound);
    }
  }

  private void handleRound() {
    scheduled = false;
    for (int handled = 0; handled < ROUND_SIZE && !waiting.isEmpty(); handled++) {
      handler.accept(waiting.remove());
    }
    if (!waiting.isEmpty()) {
      schedule();
    }
  }
}
