package org.cottontack.core.ownership;

import org.cottontack.core.Event;

/** Events of the leases and epochs of entry instances. */
public interface OwnershipEvent extends Event {

  /** Starts the join procedure; the first event of a process. */
  record Start() implements OwnershipEvent {}

  /** Timer: renews the lease and reads the assignment and the leases of the other members. */
  record Beat() implements OwnershipEvent {}

  /** The process was asked to shut down gracefully. */
  record StopAsked() implements OwnershipEvent {}

  /**
   * Timer: checks whether a leaving process still has work.
   *
   * @param notBefore monotonic time until which requests may still be in transit to this process
   */
  record DrainCheck(long notBefore) implements OwnershipEvent {}

  /** The leaving process has finished all its work and releases its share of the resources. */
  record Drained() implements OwnershipEvent {}

  /** The epoch changed; handlers of this event release resources that are no longer owned. */
  record EpochSeen() implements OwnershipEvent {}

  /**
   * All members have acknowledged the epoch and orders issued under older epochs have expired, so
   * newly assigned resources may be used.
   */
  record GainsOpen() implements OwnershipEvent {}
}
