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

  /** Holder of the lease. */
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
     * Guards against a leader that starts work or gives leases after a suspension. It was suspended
     * for a minute, and its steady clock with it, while the time of day continued and another
     * instance led. Its leases would outlast the next leader's wait, so that tasks would run twice.
     */
    @Test
    public void suspendedLeaderHasNoLeaseAfterResuming() {
      LeaderLease lease = new LeaderLease();
      lease.renewed(new Moment(1_000, 1_000));
      Moment awake = new Moment(1_100, 61_100);
      assertFalse(lease.mayStart(awake));
      assertFalse(lease.mayRenew(awake));
      assertTrue(LeaderLease.grantEnd(lease.renewal(), awake) < awake.mono());
    }

    /** Guards against a lease that becomes longer because the time of day is set back. */
    @Test
    public void timeOfDaySetBackLengthensNothing() {
      LeaderLease lease = new LeaderLease();
      lease.renewed(new Moment(1_000, 61_000));
      Moment later = new Moment(3_500, 2_500);
      assertFalse(lease.mayStart(later));
      assertEquals(LeaderLease.grantEnd(lease.renewal(), later), 1_000 + LeaderLease.GRANT_MILLIS);
    }
  }

  /** Watchers of the lease. */
  public static class Watching {

    @Test
    public void expiresAfterWatchedSilence() {
      LeaderLease lease = new LeaderLease();
      watch(lease, 0, 2_000, 7);
      assertFalse(lease.expired());
      watch(lease, 2_500, 2_500, 7);
      assertTrue(lease.expired());
    }

    @Test
    public void eachRenewalRestartsTheWatch() {
      LeaderLease lease = new LeaderLease();
      watch(lease, 0, 2_000, 7);
      watch(lease, 2_500, 4_000, 8);
      assertFalse(lease.expired());
    }

    /**
     * Guards against a watcher that deposes a healthy leader. The watcher was frozen for a minute
     * in which the leader renewed its lease, and has not watched that minute.
     */
    @Test
    public void suspendedTimeIsNotWatched() {
      LeaderLease lease = new LeaderLease();
      lease.observed(0, 7);
      lease.observed(60_000, 7);
      assertFalse(lease.expired());
    }
  }
}
