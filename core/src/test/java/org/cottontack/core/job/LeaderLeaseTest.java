package org.cottontack.core.job;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests of when an instance may lead and when it may take over. */
public class LeaderLeaseTest {

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
      assertFalse(lease.mayStart(1_000));
      lease.renewed(1_000);
      assertTrue(lease.mayStart(1_000 + LeaderLease.LEASE_MILLIS - 1));
      assertFalse(lease.mayStart(1_000 + LeaderLease.LEASE_MILLIS));
      assertTrue(lease.mayRenew(1_000 + LeaderLease.LEASE_MILLIS));
      assertFalse(lease.mayRenew(1_000 + LeaderLease.RENEWING_MILLIS));
    }

    @Test
    public void anOldRenewalDoesNotShortenTheLease() {
      LeaderLease lease = new LeaderLease();
      lease.renewed(2_000);
      lease.renewed(1_000);
      assertTrue(lease.mayStart(3_500));
    }
  }

  /** The watchers' side. */
  public static class Watching {

    @Test
    public void lapsesAfterWatchedSilence() {
      LeaderLease lease = new LeaderLease();
      watch(lease, 0, 2_000, 7);
      assertFalse(lease.lapsed(0));
      watch(lease, 2_500, 2_500, 7);
      assertTrue(lease.lapsed(0));
    }

    @Test
    public void eachRenewalBeginsTheWatchAnew() {
      LeaderLease lease = new LeaderLease();
      watch(lease, 0, 2_000, 7);
      watch(lease, 2_500, 4_000, 8);
      assertFalse(lease.lapsed(0));
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
      assertFalse(lease.lapsed(0));
    }
  }
}
