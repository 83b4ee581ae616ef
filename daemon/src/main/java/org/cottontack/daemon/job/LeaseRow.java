package org.cottontack.daemon.job;

import java.util.Optional;
import java.util.OptionalLong;
import org.cottontack.core.Moment;
import org.cottontack.core.job.LeaderLease;
import org.cottontack.core.peer.Payload;

/**
 * Creates the texts that an instance writes to the lease row of the leader, and keeps the end of
 * the leases inherited from earlier leaders. The row states how long worker leases that its writer
 * or an earlier leader granted may last. A leader that grants no lease beyond those it inherited
 * states only these, so that its term does not delay the tasks of lost workers.
 */
final class LeaseRow {

  private static final Moment NEVER = new Moment(Long.MIN_VALUE / 4, Long.MIN_VALUE / 4);

  private final String self;
  private final StoreClock clock = new StoreClock();
  private long inheritedLeaseEndMillis;

  /** The same on the store's clock, as the last leader stated it; 0 if it stated no time. */
  private long inheritedStoreMillis;

  /** The same, counted from when this instance saw the row change, which is the latest end. */
  private long latestInheritedEndMillis;

  private Moment inheritedRenewal = NEVER;

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
   * @param now the present time
   * @param again whether an earlier attempt at the same takeover may have been stored
   */
  void inherit(Optional<LeaseText> last, long changedMillis, Moment now, boolean again) {
    inheritedLeaseEndMillis = last.map(text -> leaseEndMillis(text, changedMillis)).orElse(0L);
    inheritedStoreMillis =
        last.filter(text -> text.sentMillis() > 0)
            .map(text -> text.sentMillis() + text.grantMillis())
            .orElse(0L);
    latestInheritedEndMillis = last.map(text -> changedMillis + text.grantMillis()).orElse(0L);
    Moment renewal = renewal(earliestInheritedEndMillis(now), now);
    inheritedRenewal = again ? earlier(inheritedRenewal, renewal) : renewal;
  }

  private long earliestInheritedEndMillis(Moment now) {
    if (inheritedStoreMillis == 0) {
      return latestInheritedEndMillis;
    }
    long byStoreClock = clock.earliest(inheritedStoreMillis, now).orElse(Long.MAX_VALUE);
    return Math.min(latestInheritedEndMillis, byStoreClock);
  }

  /** Returns when a renewal was sent whose leases last until a limit, but not a future time. */
  private static Moment renewal(long limitMillis, Moment now) {
    long ago = Math.max(0, now.mono() + LeaderLease.GRANT_MILLIS - limitMillis);
    return new Moment(now.mono() - ago, now.wall() - ago);
  }

  private static Moment earlier(Moment one, Moment two) {
    return new Moment(Math.min(one.mono(), two.mono()), Math.min(one.wall(), two.wall()));
  }

  /**
   * Returns the renewal of an earlier leader on which this leader may base leases before a renewal
   * of its own states that it grants some: such leases end no later than those that this leader
   * inherited.
   */
  Moment inheritedRenewal() {
    return inheritedRenewal;
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
   * @param includesTime whether the text states the time of sending, by the store's clock. Such a
   *     text is stored only over the last one. Any other may be stored late, over a newer one, and
   *     states the longest leases.
   * @param grants whether leases may be based on this renewal
   */
  Payload held(long renewals, Moment sent, boolean includesTime, boolean grants) {
    long own = grants || !includesTime ? LeaderLease.GRANT_MILLIS : 0;
    OptionalLong sentMillis = includesTime ? clock.latest(sent) : OptionalLong.empty();
    long grant = Math.max(own, remainingInheritedMillis(sent));
    return Payload.of(LeaseText.held(self, renewals, grant, sentMillis));
  }

  /**
   * Returns the text of a free lease. If the short term of a leader that has granted no leases
   * itself counted like any other, a leader that yields at once would restart the wait for lost
   * workers.
   *
   * @param cutOff the data centre whose instances wait longer before a takeover; empty for none
   * @param now when it is sent
   * @param ownLeaseEndMillis monotonic time at which all leases that this leader granted have
   *     ended, in milliseconds
   */
  Payload free(String cutOff, Moment now, long ownLeaseEndMillis) {
    long own = ownLeaseEndMillis - now.mono();
    long grant = Math.max(own, remainingInheritedMillis(now));
    return Payload.of(LeaseText.free(cutOff, grant, clock.latest(now)));
  }

  /**
   * Returns how long leases granted by earlier leaders may still last. An end that the last leader
   * stated on the store's clock is passed on. Translated by each leader, it would become earlier
   * with each clock that runs fast.
   */
  private long remainingInheritedMillis(Moment now) {
    long byStoreClock =
        Math.max(0, inheritedStoreMillis - clock.latest(now).orElse(inheritedStoreMillis));
    long latest = Math.min(latestInheritedEndMillis, now.mono() + byStoreClock);
    return Math.max(0, Math.max(inheritedLeaseEndMillis, latest) - now.mono());
  }
}
