package org.cottontack.core.job;

/** Outcome of an order to start a run. */
public enum StartResult {
  /** The run is on the worker. */
  STARTED(true),
  /** The worker does not have enough free capacity for it. */
  NO_ROOM(true),
  /** The worker refuses because its admission ticket is missing or has expired. */
  NO_TICKET(true),
  /** The worker reported that it is unhealthy and did nothing. */
  UNHEALTHY(true),
  /** The order arrived after the end of its lease. */
  LATE(true),
  /** The worker has already seen this run or a later one of its task end. */
  OLD(true),
  /** The worker has seen a newer leader. */
  FENCED(true),
  /** Another incarnation of the worker answered at its address. */
  REBORN(true),
  /** The worker could not read the order. */
  INVALID(true),
  /** The order never left this process. */
  NOT_SENT(true),
  /**
   * The answer came from another incarnation of the worker than the order was meant for. That one
   * may have carried the order out.
   */
  TAKEN_BY_OTHER(false),
  /** No answer arrived: the order may be carried out now, later or never. */
  UNKNOWN(false);

  private final boolean certain;

  StartResult(boolean certain) {
    this.certain = certain;
  }

  /** Returns whether it is known what the worker did with this order. */
  public boolean certain() {
    return certain;
  }
}
