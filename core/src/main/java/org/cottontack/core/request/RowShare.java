package org.cottontack.core.request;

import org.cottontack.core.id.RequestId;
import org.pcollections.PSortedSet;
import org.pcollections.TreePSet;

/**
 * One row's waiting requests and the service it received, for start-time fair queueing (Goyal, Vin
 * and Cheng, 1996).
 *
 * @param waiting oldest first; sorted, because a long queue must not make each departure dear
 * @param served service received, divided by weight
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

  /** A row that comes back after a pause starts level with the others, without saved-up service. */
  RowShare enqueue(RequestId id, double level) {
    double start = waiting.isEmpty() ? Math.max(served, level) : served;
    return new RowShare(waiting.plus(id), start, open, meanMillis);
  }

  /** A request that goes back has an older number, and with it its old place. */
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
