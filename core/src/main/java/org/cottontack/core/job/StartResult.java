package org.cottontack.core.job;

/** What became of an order to start a run. */
public enum StartResult {
  /** The run is there. */
  STARTED(true),
  /** The worker has no room for it. */
  NO_ROOM(true),
  /** The worker refuses because its admission ticket is missing or has expired. */
  NO_TICKET(true),
  /** The worker says it is unhealthy and did nothing. */
  UNHEALTHY(true),
  /** The order came after the end of its lease. */
  LATE(true),
  /** The worker has already seen this run end, or a later one. */
  OLD(true),
  /** The worker has seen a newer leader. */
  FENCED(true),
  /** Another life of the worker answers at its address. */
  REBORN(true),
  /** The worker could not read the order. */
  INVALID(true),
  /** The order never left this process. */
  NOT_SENT(true),
  /** No answer came: the order may be carried out now, later or never. */
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
