package org.cottontack.daemon.job;

import static org.cottontack.daemon.job.ElectionSimulation.LARGE;
import static org.cottontack.daemon.job.ElectionSimulation.SMALL;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.cottontack.core.job.LeaderLease;
import org.cottontack.core.peer.Payload;
import org.cottontack.daemon.job.ElectionSimulation.Candidate;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of how long a leader waits for worker leases that earlier leaders granted. */
public class InheritedLeasesTest {

  /** Waits for worker leases that earlier leaders granted. */
  public static class Inheriting {

    private static final RowKey LEASE = new RowKey(JobTables.LEADER, "leader", "lease");

    /**
     * Checks that leases count from the last renewal, which was sent at most 0.5 s before the
     * death; watchers see it 20 ms later.
     */
    private static void assertCountedFrom(long death, Candidate next) {
      assertTrue(next.leadership.leading());
      long after = next.leadership.inheritedLeaseEndMillis() - death;
      assertTrue(after <= LeaderLease.GRANT_MILLIS + 20, "after " + after);
      assertTrue(after >= LeaderLease.GRANT_MILLIS - 500, "after " + after);
    }

    private static void assertWaitsFor(long grantEnd, Candidate next) {
      assertTrue(next.leadership.leading());
      long leaseEnd = next.leadership.inheritedLeaseEndMillis();
      assertTrue(leaseEnd >= grantEnd, "too early by " + (grantEnd - leaseEnd));
    }

    private static long lastGrantEnd(Candidate leader) {
      return leader.leadership.renewal().mono() + LeaderLease.GRANT_MILLIS;
    }

    /**
     * The leader is killed with tasks on a worker that nobody can reach any more. The next leader
     * must count the longest lease that this worker may hold from the last renewal of the dead
     * leader. When the lease was counted from the beginning of the new term, long-running tasks
     * were absent for 17 s.
     */
    @Test
    public void countsInheritedLeasesFromTheLastRenewal() {
      ElectionSimulation simulation = new ElectionSimulation();
      Candidate first = simulation.candidate("a", 1);
      simulation.time.run(1_000);
      final Candidate second = simulation.candidate("b", 1);
      simulation.time.run(3_000);
      first.timers.killed = true;
      final long death = second.timers.now().mono();
      simulation.time.run(4_000);
      assertCountedFrom(death, second);
    }

    /**
     * All instances are killed, and one restarts 3 s later. It must count inherited leases from the
     * last renewal of the dead leader, by the store's clock, and not from its own first read of the
     * row.
     */
    @Test
    public void countsInheritedLeasesFromBeforeItsOwnStart() {
      ElectionSimulation simulation = new ElectionSimulation();
      Candidate first = simulation.candidate("a", 1);
      simulation.time.run(4_000);
      first.timers.killed = true;
      final long death = simulation.time.process().now().mono();
      simulation.time.run(3_000);
      Candidate next = simulation.candidate("b", 1);
      simulation.time.run(4_000);
      assertCountedFrom(death, next);
    }

    /**
     * A leader of an older version, whose leases last longer and whose row does not state this, is
     * replaced. Its successor and the next leader must still wait for its leases.
     */
    @Test
    public void waitsForLongerLeasesOfAnOlderVersion() {
      ElectionSimulation simulation = new ElectionSimulation();
      RowKey row = new RowKey(JobTables.LEADER, "leader", "lease");
      Transaction old = new Transaction(Map.of(), Map.of(row, Payload.of("old/1 17")), List.of());
      simulation
          .store
          .seenBy(simulation.time.process(), call -> true)
          .commit(old, 1_000, result -> {});
      simulation.time.run(100);
      Candidate first = simulation.candidate("a", 1);
      final long seen = first.timers.now().mono();
      simulation.time.run(4_000);
      assertTrue(first.leadership.leading());
      long leaseEnd = first.leadership.inheritedLeaseEndMillis();
      assertTrue(leaseEnd >= seen + LeaseText.DEFAULT_GRANT_MILLIS, "after " + (leaseEnd - seen));
      final Candidate second = simulation.candidate("b", 1);
      first.leadership.leave(() -> {});
      simulation.time.run(500);
      assertTrue(second.leadership.leading());
      assertTrue(second.leadership.inheritedLeaseEndMillis() >= leaseEnd);
    }

    /**
     * A renewal gets no response and is carried out 3 s later, after newer ones. Then the leader is
     * killed. The row states the time of that old renewal; if the next leader took it for the last
     * one, tasks on a worker that it does not reach would run twice for 2.5 s.
     */
    @Test
    public void lateRenewalsStateNoOutdatedTime() {
      ElectionSimulation simulation = new ElectionSimulation();
      Candidate first = simulation.candidate("a", 1);
      simulation.time.run(1_000);
      final Candidate second = simulation.candidate("b", 1);
      simulation.time.run(3_000);
      long[] at = {0};
      simulation.store.commitBehaviour =
          change -> {
            if (at[0] == 0 && change.writes().containsKey(LEASE)) {
              at[0] = first.timers.now().mono();
              return FakeTableStore.CommitBehaviour.LATE;
            }
            return FakeTableStore.CommitBehaviour.GOOD;
          };
      while (at[0] == 0) {
        simulation.time.run(1);
      }
      simulation.time.run(at[0] + 2_990 - first.timers.now().mono());
      assertTrue(first.leadership.leading());
      final long grantEnd = lastGrantEnd(first);
      first.timers.killed = true;
      simulation.time.run(5_000);
      assertWaitsFor(grantEnd, second);
    }

    /**
     * A takeover gets no response; later attempts at the same epoch are refused, and the last one
     * finds the first in the store, carried out 3 s late. The lease must count from the first
     * attempt. If it counted from the last one, it would last 3 s longer than the row states.
     */
    @Test
    public void lateTakeoversCountFromTheFirstAttempt() {
      ElectionSimulation simulation = new ElectionSimulation();
      long[] at = {0};
      simulation.store.commitBehaviour =
          change -> {
            long now = simulation.time.process().now().mono();
            if (!change.writes().containsKey(LEASE)) {
              return FakeTableStore.CommitBehaviour.GOOD;
            }
            if (at[0] == 0) {
              at[0] = now;
              return FakeTableStore.CommitBehaviour.LATE;
            }
            return now < at[0] + 2_990
                ? FakeTableStore.CommitBehaviour.REFUSED
                : FakeTableStore.CommitBehaviour.GOOD;
          };
      Candidate first = simulation.candidate("a", 1);
      while (!first.leadership.leading()) {
        simulation.time.run(1);
      }
      simulation.time.run(100);
      final long grantEnd = lastGrantEnd(first);
      first.timers.killed = true;
      final Candidate second = simulation.candidate("b", 1);
      simulation.time.run(5_000);
      assertWaitsFor(grantEnd, second);
    }

    /**
     * A large leader dies together with a worker; a small one takes over and yields to the next
     * incarnation of the large one before it has begun. The small leader has granted no leases, so
     * the wait for the lost worker must go on unchanged.
     */
    @Test
    public void yieldingBeforeBeginningKeepsTheWait() {
      ElectionSimulation simulation = new ElectionSimulation();
      final Candidate first = simulation.candidate(new Instance("a", "dc", LARGE), 1);
      simulation.time.run(1_000);
      final Candidate small = simulation.candidate(new Instance("b", "dc", SMALL), 1);
      small.begins = false;
      simulation.time.run(3_000);
      first.timers.killed = true;
      final long death = small.timers.now().mono();
      simulation.time.run(3_100);
      assertTrue(small.leadership.leading());
      Candidate next = simulation.candidate(new Instance("a", "dc", LARGE), 2);
      simulation.time.run(2_000);
      assertCountedFrom(death, next);
    }

    /** How long the second leader lives, and whether it has begun. */
    @DataProvider
    static Object[][] terms() {
      return new Object[][] {{50L, false}, {700L, false}, {300L, true}, {900L, true}};
    }

    /**
     * The leader dies together with a worker, and the next one dies before it has granted leases
     * that outlast the inherited ones. The wait for the lost worker must go on unchanged.
     */
    @Test(dataProvider = "terms")
    public void dyingSoonKeepsTheWait(long term, boolean begins) {
      ElectionSimulation simulation = new ElectionSimulation();
      final Candidate first = simulation.candidate("a", 1);
      simulation.time.run(1_000);
      final Candidate second = simulation.candidate("b", 1);
      second.begins = begins;
      simulation.time.run(3_000);
      first.timers.killed = true;
      final long death = second.timers.now().mono();
      while (!second.leadership.leading()) {
        simulation.time.run(1);
      }
      final Candidate third = simulation.candidate("c", 1);
      simulation.time.run(term);
      second.timers.killed = true;
      simulation.time.run(4_000);
      assertCountedFrom(death, third);
    }

    /**
     * A leader is stopped long after its last renewal. The leases that it granted count from that
     * one, so the next leader must not count them from the stop.
     */
    @Test
    public void countsLeasesOfStoppedLeadersFromTheirLastRenewal() {
      ElectionSimulation simulation = new ElectionSimulation();
      final Candidate first = simulation.candidate("a", 1);
      simulation.time.run(1_000);
      final Candidate second = simulation.candidate("b", 1);
      simulation.time.run(3_000);
      simulation.store.commitBehaviour = change -> FakeTableStore.CommitBehaviour.FAILED;
      simulation.time.run(1_000);
      simulation.store.commitBehaviour = change -> FakeTableStore.CommitBehaviour.GOOD;
      final long grantEnd = lastGrantEnd(first);
      first.leadership.leave(() -> {});
      simulation.time.run(300);
      assertWaitsFor(grantEnd, second);
      long late = second.leadership.inheritedLeaseEndMillis() - grantEnd;
      assertTrue(late <= 20, "late by " + late);
    }

    /**
     * A leader that has inherited no leases begins while a renewal is in flight that states none.
     * It must not grant leases before the row states them: the next leader would not wait for them.
     */
    @Test
    public void grantsNothingBeforeTheRowStatesIt() {
      ElectionSimulation simulation = new ElectionSimulation();
      final Candidate only = simulation.candidate("a", 1);
      only.begins = false;
      while (!only.leadership.leading()) {
        simulation.time.run(1);
      }
      final int transactions = simulation.store.transactions;
      simulation.store.transactionMillis = 200;
      while (simulation.store.transactions == transactions) {
        simulation.time.run(1);
      }
      long[] stated = {-1};
      only.leadership.begin(
          () ->
              stated[0] =
                  LeaseText.parse(simulation.store.table(JobTables.LEADER).get("lease"))
                      .grantMillis());
      assertEquals(stated[0], -1);
      simulation.time.run(450);
      assertEquals(stated[0], LeaderLease.GRANT_MILLIS);
    }
  }
}
