package org.cottontack.daemon.job;

import static org.cottontack.daemon.job.ElectionSimulation.LARGE;
import static org.cottontack.daemon.job.ElectionSimulation.SMALL;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.cottontack.core.job.Capacity;
import org.cottontack.core.peer.Payload;
import org.cottontack.daemon.job.ElectionSimulation.Candidate;
import org.testng.annotations.Test;

/** Tests of how leadership moves to an instance with enough capacity. */
public class LeadershipHandoverTest {

  /** Instances of different sizes. */
  public static class Sizes {

    private static Candidate with(
        ElectionSimulation simulation, String name, String dataCentre, Capacity capacity) {
      return simulation.candidate(new Instance(name, dataCentre, capacity), 1);
    }

    /**
     * The leader, a large instance, is killed. Small instances and a large one watch the lease; the
     * large one must lead next. A small one would read the open jobs for seconds, start too little
     * meanwhile, and could lose the lease under the load.
     */
    @Test
    public void largerInstancesLeadNext() {
      for (int round = 0; round < 20; round++) {
        ElectionSimulation simulation = new ElectionSimulation();
        final Candidate first = with(simulation, "a", "dc", LARGE);
        simulation.time.run(1_000);
        with(simulation, "b", "dc", SMALL);
        final Candidate large = with(simulation, "c", "dc", LARGE);
        simulation.time.run(3_000);
        first.timers.killed = true;
        simulation.time.run(3_500);
        assertTrue(large.leadership.leading());
        assertEquals(large.events, List.of("won 2"));
      }
    }

    /**
     * A small instance leads because no other was running. A large one starts and must lead soon;
     * otherwise work beyond the capacity of the small one would wait until its term ends.
     */
    @Test
    public void smallLeadersYieldToLargerInstances() {
      ElectionSimulation simulation = new ElectionSimulation();
      final Candidate small = with(simulation, "a", "dc", SMALL);
      simulation.time.run(1_000);
      Candidate large = with(simulation, "b", "dc", LARGE);
      simulation.time.run(2_000);
      assertTrue(large.leadership.leading());
      simulation.time.run(40_000);
      assertEquals(small.events, List.of("won 1", "lost"));
      assertEquals(large.events, List.of("won 2"));
    }

    /**
     * The last leader was large, and only small instances are left. One of them must lead, delayed
     * only by the time in which a larger instance could take over first; if it waited for larger
     * ones, nobody would lead.
     */
    @Test
    public void smallInstancesLeadWhenNoLargerOneRuns() {
      ElectionSimulation simulation = new ElectionSimulation();
      final Candidate first = with(simulation, "a", "dc", LARGE);
      simulation.time.run(1_000);
      final Candidate small = with(simulation, "b", "dc", SMALL);
      simulation.time.run(3_000);
      first.timers.killed = true;
      simulation.time.run(3_200);
      assertTrue(small.leadership.leading());
    }

    /** Equal instances do not request leadership: the rows stay as the election wrote them. */
    @Test
    public void equalInstancesRequestNothing() {
      ElectionSimulation simulation = new ElectionSimulation();
      final Candidate first = with(simulation, "a", "dc", SMALL);
      simulation.time.run(1_000);
      with(simulation, "b", "dc", SMALL);
      simulation.time.run(40_000);
      assertEquals(first.events, List.of("won 1"));
      assertFalse(simulation.store.table(JobTables.LEADER).containsKey("request"));
    }

    /**
     * A large instance sends its request from a data centre that the leader does not reach. As
     * leader it might reach the store but few workers, so it must get leadership only after the
     * partition has healed.
     */
    @Test
    public void keepsLeadershipFromInstancesThatMayBeCutOff() {
      ElectionSimulation simulation = new ElectionSimulation();
      final Candidate small = with(simulation, "a", "open", SMALL);
      simulation.time.run(1_000);
      small.unreachableDataCentre = "cut";
      final Candidate large = with(simulation, "b", "cut", LARGE);
      simulation.time.run(5_000);
      assertEquals(small.events, List.of("won 1"));
      small.unreachableDataCentre = "nowhere";
      simulation.time.run(1_500);
      assertTrue(large.leadership.leading());
    }

    /**
     * A large leader was cut off and handed over; only a small instance runs elsewhere. If the
     * large instance requested leadership at once, leadership would change again and again for as
     * long as the partition lasts.
     */
    @Test
    public void requestsNothingSoonAfterLeadersWereCutOff() {
      ElectionSimulation simulation = new ElectionSimulation();
      Candidate large = with(simulation, "a", "cut", LARGE);
      simulation.time.run(1_000);
      final Candidate small = with(simulation, "b", "open", SMALL);
      simulation.time.run(1_000);
      large.leadership.handOver("cut off");
      with(simulation, "c", "cut", LARGE);
      simulation.time.run(25_000);
      assertEquals(small.events, List.of("won 2"));
      simulation.time.run(10_000);
      assertEquals(small.events, List.of("won 2", "lost"));
    }

    /**
     * A small leader yields, and the requesting instance dies before it leads. Another instance
     * must lead soon, if necessary the old leader.
     */
    @Test
    public void leadsAgainWhenTheRequestingInstanceHasDied() {
      ElectionSimulation simulation = new ElectionSimulation();
      final Candidate small = with(simulation, "a", "dc", SMALL);
      simulation.time.run(1_000);
      small.unreachableDataCentre = "dc";
      Candidate large = with(simulation, "b", "dc", LARGE);
      simulation.time.run(1_000);
      large.timers.killed = true;
      small.unreachableDataCentre = "nowhere";
      simulation.time.run(2_000);
      assertEquals(small.events, List.of("won 1", "lost", "won 2"));
    }

    /**
     * A large instance has sent a request to a small leader, which dies before it answers. Small
     * instances must leave the next term to large ones, because a small leader would only receive
     * the same request again.
     */
    @Test
    public void delaysTakeoverForInstancesWithUnansweredRequests() {
      for (int round = 0; round < 20; round++) {
        ElectionSimulation simulation = new ElectionSimulation();
        final Candidate first = with(simulation, "a", "dc", SMALL);
        simulation.time.run(1_000);
        first.unreachableDataCentre = "dc";
        final Candidate large = with(simulation, "b", "dc", LARGE);
        with(simulation, "c", "dc", SMALL);
        simulation.time.run(3_000);
        first.timers.killed = true;
        simulation.time.run(3_500);
        assertEquals(large.events, List.of("won 2"));
      }
    }

    /**
     * A small leader has not answered a request when its process ends; its next incarnation leads
     * at once. The request must be sent again, because the stored one was for the term before.
     */
    @Test
    public void requestsAgainInTheNextTerm() {
      ElectionSimulation simulation = new ElectionSimulation();
      final Candidate small = with(simulation, "a", "dc", SMALL);
      simulation.time.run(1_000);
      small.unreachableDataCentre = "dc";
      final Candidate large = with(simulation, "b", "dc", LARGE);
      simulation.time.run(2_000);
      small.timers.killed = true;
      Candidate next = simulation.candidate(new Instance("a", "dc", SMALL), 2);
      simulation.time.run(2_500);
      assertEquals(next.events, List.of("won 2", "lost"));
      assertEquals(large.events, List.of("won 3"));
    }

    /**
     * A row beside the lease holds a text that no instance can have written. The watch must go on,
     * and an instance must lead when the leader dies; if the watch ended, nobody would ever lead
     * again.
     */
    @Test
    public void keepsWatchingDespiteUnreadableRows() {
      ElectionSimulation simulation = new ElectionSimulation();
      final Candidate first = with(simulation, "a", "dc", SMALL);
      simulation.time.run(1_000);
      final Candidate next = with(simulation, "b", "dc", LARGE);
      Map<RowKey, Payload> unreadable =
          Map.of(
              LeadershipHandover.REQUEST,
              Payload.of("x 1 2 dc"),
              LeadershipHandover.CAPACITY,
              Payload.of("x 1"));
      TableStore other = simulation.store.seenBy(simulation.time.process(), call -> true);
      other.commit(new Transaction(Map.of(), unreadable, List.of()), 1_000, result -> {});
      simulation.time.run(3_000);
      first.timers.killed = true;
      simulation.time.run(3_500);
      assertEquals(next.events, List.of("won 2"));
    }
  }
}
