package org.cottontack.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.cottontack.core.Moment;
import org.testng.annotations.Test;

/** Tests of when an instance may lead and when it may take over. */
public class LeaderLeaseTest {

  private static Moment at(long millis) {
    return new Moment(millis, millis);
  }

  private static void watch(LeaderLease lease, long from, long until, long version) {
    for (long now = from; now <= until; now += 500) {
      lease.observed(now, version);
    }
  }

  /** The holder's side. */
  public static class Holding {

    @Test
    public void startsWorkOnlyWithinTheLease() {
      LeaderLease lease = new LeaderLease();
      assertFalse(lease.mayStart(at(1_000)));
      lease.renewed(at(1_000));
      assertTrue(lease.mayStart(at(1_000 + LeaderLease.LEASE_MILLIS - 1)));
      assertFalse(lease.mayStart(at(1_000 + LeaderLease.LEASE_MILLIS)));
      assertTrue(lease.mayRenew(at(1_000 + LeaderLease.LEASE_MILLIS)));
      assertFalse(lease.mayRenew(at(1_000 + LeaderLease.GRANT_MILLIS)));
    }

    @Test
    public void anOldRenewalDoesNotShortenTheLease() {
      LeaderLease lease = new LeaderLease();
      lease.renewed(at(2_000));
      lease.renewed(at(1_000));
      assertTrue(lease.mayStart(at(3_500)));
    }

    /**
     * A leader is suspended for a minute, and its steady clock with it; the time of day goes on.
     * Another leads meanwhile. On waking the first must neither start work nor give leases, which
     * would outlast the next leader's wait, so that tasks would run twice.
     */
    @Test
    public void suspendedLeadersHoldNothingOnWaking() {
      LeaderLease lease = new LeaderLease();
      lease.renewed(new Moment(1_000, 1_000));
      Moment awake = new Moment(1_100, 61_100);
      assertFalse(lease.mayStart(awake));
      assertFalse(lease.mayRenew(awake));
      assertTrue(LeaderLease.grantEnd(lease.renewal(), awake) < awake.mono());
    }

    /** A time of day that is set back makes no lease longer. */
    @Test
    public void timeOfDaySetBackLengthensNothing() {
      LeaderLease lease = new LeaderLease();
      lease.renewed(new Moment(1_000, 61_000));
      Moment later = new Moment(3_500, 2_500);
      assertFalse(lease.mayStart(later));
      assertEquals(LeaderLease.grantEnd(lease.renewal(), later), 1_000 + LeaderLease.GRANT_MILLIS);
    }
  }

  /** The watchers' side. */
  public static class Watching {

    @Test
    public void lapsesAfterWatchedSilence() {
      LeaderLease lease = new LeaderLease();
      watch(lease, 0, 2_000, 7);
      assertFalse(lease.expired());
      watch(lease, 2_500, 2_500, 7);
      assertTrue(lease.expired());
    }

    @Test
    public void eachRenewalBeginsTheWatchAnew() {
      LeaderLease lease = new LeaderLease();
      watch(lease, 0, 2_000, 7);
      watch(lease, 2_500, 4_000, 8);
      assertFalse(lease.expired());
    }

    /**
     * A watcher is frozen for a minute while the leader renews all the time. On waking it has not
     * watched that minute and must not depose a healthy leader.
     */
    @Test
    public void timeAsleepIsNotWatched() {
      LeaderLease lease = new LeaderLease();
      lease.observed(0, 7);
      lease.observed(60_000, 7);
      assertFalse(lease.expired());
    }
  }
}
