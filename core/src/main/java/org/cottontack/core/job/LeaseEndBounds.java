package org.cottontack.core.job;

/**
 * Bounds of a stored end of leases on this leader's steady clock. The leader knows the store's
 * clock only to within the round trip of a response. It extends no lease past the earlier bound and
 * waits until the later one: the next leader may know the store's clock better, and waits for less.
 *
 * @param earliestMillis when the end has passed at the earliest
 * @param latestMillis when the end has passed for certain
 */
public record LeaseEndBounds(long earliestMillis, long latestMillis) {

  /** Returns the bounds of an end that is known exactly. */
  public static LeaseEndBounds exactly(long millis) {
    return new LeaseEndBounds(millis, millis);
  }
}
