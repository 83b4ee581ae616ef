package org.cottontack.core.job;

/**
 * Where an order goes.
 *
 * @param incarnation the life that it is for
 * @param address where the worker is reached, {@code host:port}
 * @param restarts how often this leader has seen the worker start again under its identifier
 */
public record OrderTarget(WorkerIncarnation incarnation, String address, int restarts) {

  /** Fencing tokens of one epoch: more restarts than a worker can have in one term. */
  private static final int TOKENS_PER_EPOCH = 100_000;

  /**
   * Returns the fencing token of an order. It rises with each restart: an order to an earlier life
   * that arrives late would otherwise be carried out by the next, which has the same name.
   */
  public long fencingToken(long epoch) {
    return epoch * TOKENS_PER_EPOCH + Math.min(restarts, TOKENS_PER_EPOCH - 1);
  }
}
