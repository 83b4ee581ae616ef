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

  /** Elections without an earlier leader. */
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
     * The takeover is stored but its response is lost. The winner must read the row, find its own
     * name and lead.
     */
    @Test
    public void leadsWhenTheResponseWasLost() {
      ElectionSimulation simulation = new ElectionSimulation();
      boolean[] first = {true};
      simulation.store.commitBehaviour =
          change -> {
            FakeTableStore.CommitBehaviour behaviour =
                first[0]
                    ? FakeTableStore.CommitBehaviour.ANSWER_LOST
                    : FakeTableStore.CommitBehaviour.GOOD;
            first[0] = false;
            return behaviour;
          };
      Candidate only = simulation.candidate("a", 1);
      simulation.time.run(4_000);
      assertTrue(only.leadership.leading());
      assertEquals(only.events, List.of("won 1"));
    }
  }

  /** Leaders under load. */
  public static class Busy {

    /**
     * After a takeover hundreds of responses and a long decision occupy the event loop of the
     * leader, and its timers fire 2 s late. It must still renew between two tasks. With the timers
     * alone it would lose the lease, and the next leader would have the same load.
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

    /** Frequent calls cause no more renewals than the timer does. */
    @Test
    public void renewsNoMoreOftenThanDue() {
      ElectionSimulation simulation = new ElectionSimulation();
      int[] commits = {0};
      simulation.store.commitBehaviour =
          change -> {
            commits[0]++;
            return FakeTableStore.CommitBehaviour.GOOD;
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
     * Longest time from the loss of a leader to the next election, in milliseconds: of the 3,000 ms
     * after which the runs of a cancelled job are stopped, 700 ms are left to read the state.
     */
    private static final long MAX_ELECTION_MILLIS = 2_300;

    /**
     * The leader is killed. Another instance must lead soon, but not before the lease has ended:
     * until then orders that the dead leader sent may still be carried out.
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

    /**
     * Guards against runs that go on for longer than 3.2 s after their job was cancelled, because
     * the leader was lost at that moment and the next election took too long.
     */
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

    /** Times of the loss, in milliseconds, over two periods of renewal and of watching. */
    @DataProvider
    public static Object[][] moments() {
      return LongStream.range(0, 60)
          .mapToObj(number -> new Object[] {3_000 + 20 * number})
          .toArray(Object[][]::new);
    }

    /**
     * All instances lose power and restart; the next incarnation of the last leader leads at once.
     */
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
     * The leader cannot reach the store but other instances can. It must stop starting work before
     * another instance can lead, and step down when it reaches the store again.
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
     * The leader is cut off from most workers and hands over. An instance of the same data centre
     * sees this first but must leave leadership to an instance of another data centre.
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
     * Most workers are gone permanently and no other instance runs. If leadership were handed over
     * again and again, nobody would lead for a third of the time, and the remaining workers would
     * get no work.
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
     * The name of the leader begins with the word that marks a released lease. The leader must keep
     * the lease; if the lease counted as free, every instance that reads it would take over, again
     * and again.
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

    /**
     * The leader is asked to stop and releases its lease; the next one need not wait for it to
     * expire.
     */
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
