package org.cottontack.core.table;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cottontack.core.request.Code;
import org.cottontack.core.simulation.Node;
import org.cottontack.core.simulation.Simulation;
import org.cottontack.core.simulation.SimulationTable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that accepted edits reach all instances within seconds and are never reverted. */
public final class TableTest {

  private TableTest() {}

  /** A simulation with two entry instances. */
  public abstract static class TwoInstances {

    Simulation simulation;
    Node first;
    Node second;

    /** Starts both instances. */
    @BeforeMethod
    public void start() {
      simulation = new Simulation();
      first = simulation.start("a:1");
      second = simulation.start("b:1");
      simulation.run(5_000);
    }

    static void edit(Node node, long ticket, long expected, int limit) {
      node.accept(
          new TableEvent.EditAsked(
              ticket, expected, "op" + ticket, SimulationTable.content(limit)));
    }

    static long version(Node node) {
      return node.state().table().version();
    }
  }

  /** Single and concurrent edits. */
  public static final class Edits extends TwoInstances {

    /** An accepted edit is in force in every instance within three seconds. */
    @Test
    public void reachesEveryInstance() {
      edit(first, 1, 1, 7);
      simulation.run(3_000);
      assertEquals(first.edits.get(1L).verdict(), TableEffect.Verdict.ACCEPTED);
      assertEquals(version(second), 2);
      assertEquals(second.state().table().record().content().rows().get(0).maxInFlight(), 7);
    }

    /**
     * Guards against a mixture of two edits. Two operators edit the same version at the same time.
     * One edit is accepted. The other is answered as stale, with the accepted version, its editor
     * and the rows that differ, and no part of it comes into force.
     */
    @Test
    public void oneOfTwoConcurrentEditsWins() {
      edit(first, 1, 1, 7);
      edit(second, 2, 1, 8);
      simulation.run(3_000);
      List<TableEffect.Verdict> verdicts =
          List.of(first.edits.get(1L).verdict(), second.edits.get(2L).verdict());
      assertTrue(verdicts.contains(TableEffect.Verdict.ACCEPTED), verdicts.toString());
      assertTrue(verdicts.contains(TableEffect.Verdict.STALE), verdicts.toString());
      assertEquals(version(first), 2);
      assertEquals(version(second), 2);
      assertEquals(first.state().table().record(), second.state().table().record());
    }

    /**
     * Guards against an edit that is applied twice or answered wrongly because the response of the
     * store was lost. The edit is applied once and answered as accepted.
     */
    @Test
    public void lostAnswerDoesNotRepeatTheEdit() {
      first.storeAnswers = false;
      edit(first, 1, 1, 7);
      simulation.run(1_000);
      first.storeAnswers = true;
      simulation.run(3_000);
      assertEquals(first.edits.get(1L).verdict(), TableEffect.Verdict.ACCEPTED);
      assertEquals(version(second), 2);
    }

    /** A table with faults is rejected as a whole, and all its faults are listed. */
    @Test
    public void everyFaultIsReported() {
      edit(first, 1, 1, 0);
      TableEffect.EditAnswered answer = first.edits.get(1L);
      assertEquals(answer.verdict(), TableEffect.Verdict.INVALID);
      assertEquals(answer.messages().size(), 2, answer.messages().toString());
      assertTrue(answer.messages().get(0).contains("maxInFlight"), answer.messages().toString());
    }
  }

  /** Partitions, delayed reads and new processes. */
  public static final class Partitions extends TwoInstances {

    /**
     * An instance cut off from the store and its peers keeps its last version, knows the age of
     * that version and adopts the newest one afterwards.
     */
    @Test
    public void partitionedInstanceCatchesUp() {
      second.storeUp = false;
      second.networkUp = false;
      edit(first, 1, 1, 7);
      simulation.run(10_000);
      assertEquals(version(second), 1);
      long age = second.state().mono() - second.state().table().confirmedAt();
      assertTrue(age >= 9_000, "age " + age);
      second.storeUp = true;
      second.networkUp = true;
      simulation.run(3_000);
      assertEquals(version(second), 2);
    }

    /** A delayed read of the pointer returns an older version, which must not replace the newer. */
    @Test
    public void lateReadsDoNotRevert() {
      second.scanDelay = 6_000;
      simulation.run(2_100);
      second.scanDelay = 2;
      edit(first, 1, 1, 7);
      simulation.run(3_000);
      assertEquals(version(second), 2);
      simulation.run(6_000);
      assertEquals(version(second), 2);
    }

    /**
     * A delayed read of the content returns a version older than one adopted in the meantime, which
     * it must not replace.
     */
    @Test
    public void lateContentDoesNotRevert() {
      final Node fresh = simulation.start("c:1");
      simulation.run(5);
      fresh.scanDelay = 6_000;
      simulation.run(2);
      fresh.scanDelay = 2;
      edit(first, 1, 1, 7);
      simulation.run(4_000);
      assertEquals(version(fresh), 2);
      simulation.run(6_000);
      assertEquals(version(fresh), 2);
    }

    /** A new process that cannot read the table refuses requests until it can. */
    @Test
    public void freshProcessWaitsForTheTable() {
      edit(first, 1, 1, 7);
      simulation.run(1_000);
      Node fresh = simulation.start("c:1");
      fresh.storeUp = false;
      simulation.run(1_000);
      assertEquals(version(fresh), 0);
      var id = simulation.request(fresh, "check", "", "x", 0);
      assertEquals(fresh.answers.get(id).code(), Code.NO_TABLE);
      fresh.storeUp = true;
      simulation.run(5_000);
      assertEquals(version(fresh), 2);
    }
  }
}
