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
   * @param asked when we asked
   * @param heard when we heard
   * @param storeMillis the store's clock, in milliseconds; 0 if it did not say
   */
  void told(Moment asked, Moment heard, long storeMillis) {
    clock.told(asked, heard, storeMillis);
  }

  /**
   * Takes in whose workers' leases an instance inherits that takes over.
   *
   * @param last what the row says; empty when there is none
   * @param changedMillis steady time at which we saw the row change, in milliseconds
   */
  void inherit(Optional<LeaseText> last, long changedMillis) {
    inheritedLeaseEndMillis = last.map(text -> lapse(text, changedMillis)).orElse(0L);
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
  private long lapse(LeaseText text, long changedMillis) {
    long seen = changedMillis + text.grantMillis();
    if (text.sentMillis() == 0) {
      return seen;
    }
    long stated = clock.reached(text.sentMillis() + text.grantMillis()).orElse(seen);
    return Math.min(seen, stated);
  }

  /**
   * Returns the text of a held lease.
   *
   * @param renewals how often this process has renewed it
   * @param sent when it is sent
   * @param stated whether it says so, by the store's clock
   */
  Payload held(long renewals, Moment sent, boolean stated) {
    long grant = Math.max(LeaderLease.GRANT_MILLIS, inheritedMillis(sent));
    OptionalLong sentMillis = stated ? clock.latest(sent) : OptionalLong.empty();
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
    long grant = Math.max(own, inheritedMillis(now));
    return Payload.of(LeaseText.free(cutOff, grant, clock.latest(now)));
  }

  /** Returns how long leases may still last that leaders before this one gave. */
  private long inheritedMillis(Moment now) {
    return inheritedLeaseEndMillis - now.mono();
  }
}
