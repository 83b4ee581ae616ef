package org.cottontack.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests of leases that are measured on a worker's clock. */
public class WorkerClockTest {

  /** Ends of leases. */
  public static class LeaseEnds {

    private static final long READ_MILLIS = 20_000;
    private static final long UNTIL_MILLIS = 30_000;

    private static long leaseEnd(long clock) {
      WorkerClock workerClock = new WorkerClock();
      workerClock.observe(clock, READ_MILLIS);
      return workerClock.leaseEnd(UNTIL_MILLIS, READ_MILLIS);
    }

    /**
     * Guards against a task that runs twice because its worker's clock is 2 % slow. Without a
     * correction its lease of 10 s would last 0.2 s longer than the next leader waits.
     */
    @Test
    public void slowClocksEndLeasesInTime() {
      long atUntil = 500 + 9_800;
      assertTrue(leaseEnd(500) <= atUntil, "ends " + (leaseEnd(500) - atUntil) + " ms late");
    }

    @Test
    public void exactClocksLoseTwoPercent() {
      assertEquals(leaseEnd(500), 500 + 9_800);
    }

    /**
     * Guards against leases that last longer by the time for which the leader was suspended: its
     * clock stood still for 4 s after a renewal, the worker's did not.
     */
    @Test
    public void countFromTheRenewalAcrossSuspension() {
      WorkerClock workerClock = new WorkerClock();
      workerClock.observe(500, READ_MILLIS);
      workerClock.observe(4_600, READ_MILLIS + 100);
      assertEquals(workerClock.leaseEnd(UNTIL_MILLIS, READ_MILLIS + 50), 500 + 9_800);
      assertEquals(workerClock.leaseEnd(UNTIL_MILLIS, READ_MILLIS + 100), 4_600 + 9_702);
    }

    /**
     * Guards against a short lease after a suspension that outlasts the leader's own lease: it has
     * ended by the clock that the worker showed at the renewal, although its last answer is new.
     */
    @Test
    public void shortLeasesEndWithTheLeadersOwnAcrossSuspension() {
      WorkerClock workerClock = new WorkerClock();
      workerClock.observe(500, READ_MILLIS);
      long grantEnd = READ_MILLIS + LeaderLease.GRANT_MILLIS;
      assertEquals(workerClock.shortLeaseEnd(READ_MILLIS + 5, grantEnd, READ_MILLIS), 500 + 4);
      workerClock.observe(14_600, READ_MILLIS + 100);
      long suspended = workerClock.shortLeaseEnd(READ_MILLIS + 105, grantEnd, READ_MILLIS);
      assertEquals(suspended, 500 + (long) (0.98 * LeaderLease.GRANT_MILLIS));
      assertEquals(workerClock.lastLeaseEndMillis(), READ_MILLIS + 105);
    }

    /** A shorter lease does not end an earlier, longer one. */
    @Test
    public void theLatestEndCounts() {
      WorkerClock workerClock = new WorkerClock();
      workerClock.observe(500, READ_MILLIS);
      workerClock.leaseEnd(UNTIL_MILLIS, READ_MILLIS);
      workerClock.leaseEnd(UNTIL_MILLIS - 5_000, READ_MILLIS);
      assertEquals(workerClock.lastLeaseEndMillis(), UNTIL_MILLIS);
    }
  }
}
