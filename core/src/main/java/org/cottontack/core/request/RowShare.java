package org.cottontack.core.request;

import org.cottontack.core.id.RequestId;
import org.pcollections.PSortedSet;
import org.pcollections.TreePSet;

/**
 * One row's waiting requests and the service it received, for start-time fair queueing (Goyal, Vin
 * and Cheng, 1996).
 *
 * @param waiting waiting requests, oldest first; a sorted set, so that removals stay cheap in a
 *     long queue
 * @param served service received, divided by the row's weight
 * @param open requests without a final answer
 * @param meanMillis moving mean of the time its requests take at an endpoint
 */
record RowShare(PSortedSet<RequestId> waiting, double served, int open, double meanMillis) {

  private static final double INITIAL_MEAN_MILLIS = 5;
  private static final double MEAN_GAIN = 0.05;

  static final RowShare EMPTY = new RowShare(TreePSet.empty(), 0, 0, INITIAL_MEAN_MILLIS);

  RowShare opened() {
    return new RowShare(waiting, served, open + 1, meanMillis);
  }

  RowShare closed() {
    return new RowShare(waiting, served, open - 1, meanMillis);
  }

  /**
   * Adds a request to the queue. A row without waiting requests starts at least at {@code level},
   * the value of {@code served} of the row that is served next, so that it has no claim to service
   * that it did not use during a pause.
   */
  RowShare enqueue(RequestId id, double level) {
    double start = waiting.isEmpty() ? Math.max(served, level) : served;
    return new RowShare(waiting.plus(id), start, open, meanMillis);
  }

  /** Puts a request back into the queue, at its old position because it keeps its number. */
  RowShare enqueueAgain(RequestId id) {
    return new RowShare(waiting.plus(id), served, open, meanMillis);
  }

  RowShare dequeue(RequestId id) {
    return new RowShare(waiting.minus(id), served, open, meanMillis);
  }

  RowShare charge(int weight) {
    return new RowShare(waiting, served + meanMillis / weight, open, meanMillis);
  }

  RowShare measured(long millis) {
    double mean = meanMillis + MEAN_GAIN * (millis - meanMillis);
    return new RowShare(waiting, served, open, mean);
  }
}
