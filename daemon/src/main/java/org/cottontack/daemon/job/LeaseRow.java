package org.cottontack.daemon.job;

import java.util.Optional;
import java.util.OptionalLong;
import org.cottontack.core.Moment;
import org.cottontack.core.job.LeaderLease;
import org.cottontack.core.peer.Payload;

/**
 * What an instance writes to the leader's lease row, and what it owes to the leaders before it: the
 * row says for how long leases of workers may last that its writer or an earlier leader gave.
 */
final class LeaseRow {

  private final String self;
  private final StoreClock clock = new StoreClock();
  private long inheritedLeaseEndMillis;

  /**
   * Creates the writer of an instance that has inherited nothing.
   *
   * @param self this incarnation
   */
  LeaseRow(String self) {
    this.self = self;
  }

  /**
   * Takes in what the store's clock said between a question and its answer.
   *
   * @param requestSent when we asked
   * @param received when we heard
   * @param storeMillis the store's clock, in milliseconds; 0 if it did not say
   */
  void updateClock(Moment requestSent, Moment received, long storeMillis) {
    clock.update(requestSent, received, storeMillis);
  }

  /**
   * Takes in whose workers' leases an instance inherits that takes over.
   *
   * @param last what the row says; empty when there is none
   * @param changedMillis steady time at which we saw the row change, in milliseconds
   */
  void inherit(Optional<LeaseText> last, long changedMillis) {
    inheritedLeaseEndMillis = last.map(text -> leaseEndMillis(text, changedMillis)).orElse(0L);
  }

  /**
   * Returns the steady time, in milliseconds, at which all leases have ended that earlier leaders
   * gave to workers: none lasts longer than its giver's last renewal allows.
   */
  long inheritedLeaseEndMillis() {
    return inheritedLeaseEndMillis;
  }

  /**
   * Returns the steady time at which all leases of the holder's workers have ended: counted from
   * when the row was written, as far as the store's clock tells, at the latest from when we saw it
   * first. A process that began after the holder's death saw the row late.
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
   * @param includesTime whether it says so, by the store's clock
   */
  Payload held(long renewals, Moment sent, boolean includesTime) {
    long grant = Math.max(LeaderLease.GRANT_MILLIS, remainingInheritedMillis(sent));
    OptionalLong sentMillis = includesTime ? clock.latest(sent) : OptionalLong.empty();
    return Payload.of(LeaseText.held(self, renewals, grant, sentMillis));
  }

  /**
   * Returns the text of a free lease. A leader that has not begun has given no leases itself. Were
   * its short term counted like any other, making way at once would begin the wait for lost workers
   * anew.
   *
   * @param cutOff the data centre that is to stand back; empty for none
   * @param now when it is sent
   * @param begun whether this leader has given leases to workers
   */
  Payload free(String cutOff, Moment now, boolean begun) {
    long own = begun ? LeaderLease.GRANT_MILLIS : 0;
    long grant = Math.max(own, remainingInheritedMillis(now));
    return Payload.of(LeaseText.free(cutOff, grant, clock.latest(now)));
  }

  /** Returns how long leases may still last that leaders before this one gave. */
  private long remainingInheritedMillis(Moment now) {
    return inheritedLeaseEndMillis - now.mono();
  }
}
