package org.cottontack.core.ownership;

import org.cottontack.core.Event;

/** Events of leases and epochs. */
public interface OwnershipEvent extends Event {

  /** Starts to join; the first event of a process. */
  record Start() implements OwnershipEvent {}

  /** Time to renew and to look at the others. */
  record Beat() implements OwnershipEvent {}

  /** The process was asked to stop gracefully. */
  record StopAsked() implements OwnershipEvent {}

  /**
   * Time to see whether a leaving process has work left.
   *
   * @param notBefore monotonic time before which work may still be under way to this process
   */
  record DrainCheck(long notBefore) implements OwnershipEvent {}

  /** All work of a leaving process is done: give the share back. */
  record Drained() implements OwnershipEvent {}

  /** The members changed; resources not owned any more were released with this event. */
  record EpochSeen() implements OwnershipEvent {}

  /** All members acknowledged the epoch and old orders have expired. */
  record GainsOpen() implements OwnershipEvent {}
}
