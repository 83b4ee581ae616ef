package org.cottontack.daemon.job;

import java.util.Optional;
import java.util.OptionalLong;
import org.cottontack.core.Moment;
import org.cottontack.core.job.LeaderLease;
import org.cottontack.core.peer.Payload;

/**
 * Creates the texts that an instance writes to the lease row of the leader, and keeps the end of
 * the leases inherited from earlier leaders. The row states how long worker leases that its writer
 * or an earlier leader granted may last.
 */
final class LeaseRow {

  private final String self;
  private final StoreClock clock = new StoreClock();
  private long inheritedLeaseEndMillis;

  /**
   * Creates the writer of an instance that has inherited no leases.
   *
   * @param self this incarnation
   */
  LeaseRow(String self) {
    this.self = self;
  }

  /** Returns the store's clock. */
  StoreClock storeClock() {
    return clock;
  }

  /**
   * Updates the store's clock from a response.
   *
   * @param requestSent when the request was sent
   * @param received when the response was received
   * @param storeMillis the store's clock, in milliseconds; 0 if the response did not state it
   */
  void updateClock(Moment requestSent, Moment received, long storeMillis) {
    clock.update(requestSent, received, storeMillis);
  }

  /**
   * Records the worker leases that this instance inherits when it takes over.
   *
   * @param last the last text of the lease row; empty when there is none
   * @param changedMillis monotonic time at which this instance saw the row change, in milliseconds
   */
  void inherit(Optional<LeaseText> last, long changedMillis) {
    inheritedLeaseEndMillis = last.map(text -> leaseEndMillis(text, changedMillis)).orElse(0L);
  }

  /**
   * Returns the time on the monotonic clock, in milliseconds, at which all worker leases granted by
   * earlier leaders have ended: no lease lasts longer than the last renewal of the leader that
   * granted it allows.
   */
  long inheritedLeaseEndMillis() {
    return inheritedLeaseEndMillis;
  }

  /**
   * Returns the monotonic time at which all worker leases granted by the holder have ended. They
   * count from when the row was written, by the store's clock, if that time is known; otherwise,
   * and at the latest, they count from when this instance first saw the row. A process that began
   * after the holder's death saw the row late.
   */
  private long leaseEndMillis(LeaseText text, long changedMillis) {
    long endByObservation = changedMillis + text.grantMillis();
    if (text.sentMillis() == 0) {
      return endByObservation;
    }
    long endByStoreClock =
        clock.reached(text.sentMillis() + text.grantMillis()).orElse(endByObservation);
    return Math.min(endByObservation, endByStoreClock);
  }

  /**
   * Returns the text of a held lease.
   *
   * @param renewals how often this process has renewed it
   * @param sent when it is sent
   * @param includesTime whether the text states the time of sending, by the store's clock
   */
  Payload held(long renewals, Moment sent, boolean includesTime) {
    long grant = Math.max(LeaderLease.GRANT_MILLIS, remainingInheritedMillis(sent));
    OptionalLong sentMillis = includesTime ? clock.latest(sent) : OptionalLong.empty();
    return Payload.of(LeaseText.held(self, renewals, grant, sentMillis));
  }

  /**
   * Returns the text of a free lease. A leader that has not begun has granted no leases itself. If
   * its short term counted like any other, a leader that yields at once would restart the wait for
   * lost workers.
   *
   * @param cutOff the data centre whose instances wait longer before a takeover; empty for none
   * @param now when it is sent
   * @param begun whether this leader has granted leases to workers
   */
  Payload free(String cutOff, Moment now, boolean begun) {
    long own = begun ? LeaderLease.GRANT_MILLIS : 0;
    long grant = Math.max(own, remainingInheritedMillis(now));
    return Payload.of(LeaseText.free(cutOff, grant, clock.latest(now)));
  }

  /** Returns how long leases granted by earlier leaders may still last. */
  private long remainingInheritedMillis(Moment now) {
    return inheritedLeaseEndMillis - now.mono();
  }
}
