package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.cottontack.core.job.LeaderLease;
import org.cottontack.daemon.job.ElectionSimulation.Candidate;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the election of a leader through the store. */
public class LeadershipTest {

  /** Who leads. */
  public static class Electing {

    @Test
    public void exactlyOneOfManyLeads() {
      ElectionSimulation simulation = new ElectionSimulation();
      List<Candidate> all =
          List.of(
              simulation.candidate("a", 1),
              simulation.candidate("b", 1),
              simulation.candidate("c", 1));
      simulation.time.run(10_000);
      assertEquals(all.stream().filter(c -> c.leadership.leading()).count(), 1);
      assertEquals(all.stream().mapToInt(c -> c.events.size()).sum(), 1);
    }

    /**
     * The takeover is in the store, its answer lost. The winner looks, finds its name, and leads.
     */
    @Test
    public void leadsWhenTheResponseWasLost() {
      ElectionSimulation simulation = new ElectionSimulation();
      boolean[] first = {true};
      simulation.store.fate =
          change -> {
            FakeTableStore.Fate fate =
                first[0] ? FakeTableStore.Fate.ANSWER_LOST : FakeTableStore.Fate.GOOD;
            first[0] = false;
            return fate;
          };
      Candidate only = simulation.candidate("a", 1);
      simulation.time.run(4_000);
      assertTrue(only.leadership.leading());
      assertEquals(only.events, List.of("won 1"));
    }
  }

  /** Leaders that have much to do. */
  public static class Busy {

    /**
     * After a takeover hundreds of answers and a long decision keep the leader's event loop, and
     * its timers come 2 s late. It renews between two pieces of work all the same; by its timers
     * alone it would lose the lease, and the next leader would have the same rush.
     */
    @Test
    public void renewsBetweenTasksOfTheEventLoop() {
      ElectionSimulation simulation = new ElectionSimulation();
      final Candidate first = simulation.candidate("a", 1);
      simulation.time.run(1_000);
      final Candidate second = simulation.candidate("b", 1);
      simulation.time.run(1_000);
      first.timers.lateMillis = 2_000;
      for (int i = 0; i < 20; i++) {
        simulation.time.run(900);
        first.leadership.renewIfDue();
      }
      assertEquals(first.events, List.of("won 1"));
      assertEquals(second.events, List.of());
    }

    /** What asks often for a renewal causes no more of them than the timer does. */
    @Test
    public void renewsNoMoreOftenThanDue() {
      ElectionSimulation simulation = new ElectionSimulation();
      int[] commits = {0};
      simulation.store.fate =
          change -> {
            commits[0]++;
            return FakeTableStore.Fate.GOOD;
          };
      Candidate only = simulation.candidate("a", 1);
      for (int i = 0; i < 1_000; i++) {
        simulation.time.run(10);
        only.leadership.renewIfDue();
      }
      assertTrue(commits[0] <= 21, "commits in 10 s: " + commits[0]);
    }
  }

  /** Changes of leader. */
  public static class TakingOver {

    /**
     * Longest time from a leader's loss to the next election, in milliseconds: of the 3,000 ms
     * after which a cancelled job's runs are stopped, 700 ms are left to read the state.
     */
    private static final long MAX_ELECTION_MILLIS = 2_300;

    /**
     * The leader is killed. Another instance leads soon, but not before the lease has ended: until
     * then orders that the dead leader sent may still be carried out.
     */
    @Test
    public void waitsForTheLeaseOfAnotherInstance() {
      ElectionSimulation simulation = new ElectionSimulation();
      Candidate first = simulation.candidate("a", 1);
      simulation.time.run(1_000);
      final Candidate second = simulation.candidate("b", 1);
      simulation.time.run(3_000);
      first.timers.killed = true;
      simulation.time.run(LeaderLease.LEASE_MILLIS - 600);
      assertFalse(second.leadership.leading());
      simulation.time.run(2_000);
      assertTrue(second.leadership.leading());
      assertEquals(second.events, List.of("won 2"));
    }

    /** Work of jobs that were cancelled as the leader was lost went on for longer than 3.2 s. */
    @Test(dataProvider = "moments")
    public void electsSoonAfterTheLoss(long killedMillis) {
      ElectionSimulation simulation = new ElectionSimulation();
      Candidate first = simulation.candidate("a", 1);
      simulation.time.run(1_000);
      final Candidate second = simulation.candidate("b", 1);
      simulation.time.run(killedMillis);
      first.timers.killed = true;
      simulation.time.run(MAX_ELECTION_MILLIS);
      assertTrue(second.leadership.leading());
    }

    /** Moments of two periods of renewal and of watching, in milliseconds. */
    @DataProvider
    public static Object[][] moments() {
      return LongStream.range(0, 60)
          .mapToObj(number -> new Object[] {3_000 + 20 * number})
          .toArray(Object[][]::new);
    }

    /** All instances lose power and come back; the last leader's next life leads at once. */
    @Test
    public void doesNotWaitForItsOwnPreviousIncarnation() {
      ElectionSimulation simulation = new ElectionSimulation();
      Candidate first = simulation.candidate("a", 1);
      simulation.time.run(1_000);
      first.timers.killed = true;
      Candidate next = simulation.candidate("a", 2);
      simulation.time.run(300);
      assertTrue(next.leadership.leading());
    }

    /**
     * The leader loses the store while others have it. It stops to start work before another can
     * lead, and steps down when it reaches the store again.
     */
    @Test
    public void leadersWithoutTheStoreStopInTime() {
      ElectionSimulation simulation = new ElectionSimulation();
      Candidate first = simulation.candidate("a", 1);
      simulation.time.run(1_000);
      final Candidate second = simulation.candidate("b", 1);
      simulation.time.run(1_000);
      first.reachesStore = false;
      for (int i = 0; i < 600; i++) {
        simulation.time.run(10);
        assertFalse(first.leadership.mayStart() && second.leadership.mayStart());
      }
      assertTrue(second.leadership.leading());
      first.reachesStore = true;
      simulation.time.run(3_000);
      assertEquals(first.events, List.of("won 1", "lost"));
    }

    /**
     * The leader is cut off from most workers and gives the lead away. Its neighbour, which is
     * first to hear of it, leaves it to an instance of another data centre.
     */
    @Test
    public void handsOverToAnotherDataCentre() {
      ElectionSimulation simulation = new ElectionSimulation();
      final Candidate first = simulation.candidate("a", 1, "cut");
      simulation.time.run(1_000);
      final Candidate near = simulation.candidate("b", 1, "cut");
      simulation.time.run(1_000);
      final Candidate far = simulation.candidate("c", 1, "open");
      simulation.time.run(1_000);
      first.leadership.handOver("cut off");
      simulation.time.run(400);
      assertTrue(far.leadership.leading());
      simulation.time.run(4_000);
      assertEquals(near.events, List.of());
      assertEquals(first.events, List.of("won 1", "lost"));
    }

    /**
     * Most workers are gone for good and no other instance lives. Were the lead given away again
     * and again, nobody would lead for a third of the time, and what still runs would get nothing.
     */
    @Test
    public void doesNotHandOverAgainSoon() {
      ElectionSimulation simulation = new ElectionSimulation();
      Candidate only = simulation.candidate("a", 1, "cut");
      simulation.time.run(1_000);
      only.leadership.handOver("cut off");
      simulation.time.run(5_000);
      only.leadership.handOver("cut off");
      assertTrue(only.leadership.leading());
      simulation.time.run(30_000);
      only.leadership.handOver("cut off");
      assertFalse(only.leadership.leading());
    }

    /** No other data centre has an instance: the old leader leads again soon. */
    @Test
    public void leadsAgainWhenNobodyElseDoes() {
      ElectionSimulation simulation = new ElectionSimulation();
      Candidate only = simulation.candidate("a", 1, "cut");
      simulation.time.run(1_000);
      only.leadership.handOver("cut off");
      simulation.time.run(3_000);
      assertTrue(only.leadership.leading());
    }

    /**
     * The leader's name begins like the word that a lease given back holds. It leads all the same;
     * taken for nobody, it would lose the lead to each instance that looks, again and again.
     */
    @Test
    public void holdsTheLeaseWhateverItsName() {
      ElectionSimulation simulation = new ElectionSimulation();
      Candidate first = simulation.candidate("freeport-1", 1);
      simulation.time.run(1_000);
      Candidate second = simulation.candidate("b", 1);
      simulation.time.run(5_000);
      assertTrue(first.leadership.leading());
      assertEquals(second.events, List.of());
    }

    /** The leader is told to stop and gives its lease back; the next one need not wait for it. */
    @Test
    public void takesOverAtOnceWhenTheLeaderLeaves() {
      ElectionSimulation simulation = new ElectionSimulation();
      Candidate first = simulation.candidate("a", 1);
      simulation.time.run(1_000);
      final Candidate second = simulation.candidate("b", 1);
      simulation.time.run(1_000);
      first.leadership.leave(() -> first.events.add("left"));
      simulation.time.run(300);
      assertEquals(first.events, List.of("won 1", "left"));
      assertTrue(second.leadership.leading());
    }
  }
}
