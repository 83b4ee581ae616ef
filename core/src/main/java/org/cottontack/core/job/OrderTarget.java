package org.cottontack.core.job;

/**
 * The worker incarnation that an order is sent to.
 *
 * @param incarnation the incarnation that the order is meant for
 * @param address the worker's network address, {@code host:port}
 * @param restarts how often this leader has seen the worker restart under its identifier
 */
public record OrderTarget(WorkerIncarnation incarnation, String address, int restarts) {

  /** Number of fencing tokens per epoch: more than a worker can restart in one term. */
  private static final int TOKENS_PER_EPOCH = 100_000;

  /**
   * Returns the fencing token of an order. It rises with each restart. Otherwise a late order to an
   * earlier incarnation would be carried out by the next one, which has the same identifier.
   */
  public long fencingToken(long epoch) {
    return epoch * TOKENS_PER_EPOCH + Math.min(restarts, TOKENS_PER_EPOCH - 1);
  }
}
