package org.cottontack.core.table;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cottontack.core.lab.Lab;
import org.cottontack.core.lab.LabTable;
import org.cottontack.core.lab.Node;
import org.cottontack.core.request.Code;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Accepted edits are in force everywhere within seconds and never revert. */
public final class TableTest {

  private TableTest() {}

  /** A lab with two entry instances. */
  public abstract static class TwoInstances {

    Lab lab;
    Node first;
    Node second;

    /** Starts everything. */
    @BeforeMethod
    public void start() {
      lab = new Lab();
      first = lab.start("a:1");
      second = lab.start("b:1");
      lab.run(5_000);
    }

    static void edit(Node node, long ticket, long expected, int limit) {
      node.accept(
          new TableEvent.EditAsked(ticket, expected, "op" + ticket, LabTable.content(limit)));
    }

    static long version(Node node) {
      return node.state().table().version();
    }
  }

  /** Edits and their races. */
  public static final class Edits extends TwoInstances {

    /** An accepted edit reaches every instance within seconds. */
    @Test
    public void reachesEveryInstance() {
      edit(first, 1, 1, 7);
      lab.run(3_000);
      assertEquals(first.edits.get(1L).verdict(), TableEffect.Verdict.ACCEPTED);
      assertEquals(version(second), 2);
      assertEquals(second.state().table().record().content().rows().get(0).maxInFlight(), 7);
    }

    /**
     * Two operators edit the same version at once. One edit is accepted; the other operator learns
     * who came first and which rows differ, and nothing of the loser is in force.
     */
    @Test
    public void oneOfTwoConcurrentEditsWins() {
      edit(first, 1, 1, 7);
      edit(second, 2, 1, 8);
      lab.run(3_000);
      List<TableEffect.Verdict> verdicts =
          List.of(first.edits.get(1L).verdict(), second.edits.get(2L).verdict());
      assertTrue(verdicts.contains(TableEffect.Verdict.ACCEPTED), verdicts.toString());
      assertTrue(verdicts.contains(TableEffect.Verdict.STALE), verdicts.toString());
      assertEquals(version(first), 2);
      assertEquals(version(second), 2);
      assertEquals(first.state().table().record(), second.state().table().record());
    }

    /** The answer to an accepted edit is lost; it is still accepted once and said so. */
    @Test
    public void lostAnswerDoesNotRepeatTheEdit() {
      first.storeAnswers = false;
      edit(first, 1, 1, 7);
      lab.run(1_000);
      first.storeAnswers = true;
      lab.run(3_000);
      assertEquals(first.edits.get(1L).verdict(), TableEffect.Verdict.ACCEPTED);
      assertEquals(version(second), 2);
    }

    /** A table with faults is refused whole and every fault is named. */
    @Test
    public void everyFaultIsReported() {
      edit(first, 1, 1, 0);
      TableEffect.EditAnswered answer = first.edits.get(1L);
      assertEquals(answer.verdict(), TableEffect.Verdict.INVALID);
      assertEquals(answer.messages().size(), 2, answer.messages().toString());
      assertTrue(answer.messages().get(0).contains("maxInFlight"), answer.messages().toString());
    }
  }

  /** Cuts and fresh processes. */
  public static final class Partitions extends TwoInstances {

    /** A cut-off instance keeps its last version, knows its age, and catches up afterwards. */
    @Test
    public void partitionedInstanceCatchesUp() {
      second.storeUp = false;
      second.networkUp = false;
      edit(first, 1, 1, 7);
      lab.run(10_000);
      assertEquals(version(second), 1);
      long age = second.state().mono() - second.state().table().confirmedAt();
      assertTrue(age >= 9_000, "age " + age);
      second.storeUp = true;
      second.networkUp = true;
      lab.run(3_000);
      assertEquals(version(second), 2);
    }

    /** A read that was long under way tells of an older version; it does not revert the newer. */
    @Test
    public void lateReadsDoNotRevert() {
      second.scanDelay = 6_000;
      lab.run(2_100);
      second.scanDelay = 2;
      edit(first, 1, 1, 7);
      lab.run(3_000);
      assertEquals(version(second), 2);
      lab.run(6_000);
      assertEquals(version(second), 2);
    }

    /** Content that was long under way is older than what came meanwhile; it does not revert it. */
    @Test
    public void lateContentDoesNotRevert() {
      final Node fresh = lab.start("c:1");
      lab.run(5);
      fresh.scanDelay = 6_000;
      lab.run(2);
      fresh.scanDelay = 2;
      edit(first, 1, 1, 7);
      lab.run(4_000);
      assertEquals(version(fresh), 2);
      lab.run(6_000);
      assertEquals(version(fresh), 2);
    }

    /** A fresh process that cannot read the table serves nothing rather than an older one. */
    @Test
    public void freshProcessWaitsForTheTable() {
      edit(first, 1, 1, 7);
      lab.run(1_000);
      Node fresh = lab.start("c:1");
      fresh.storeUp = false;
      lab.run(1_000);
      assertEquals(version(fresh), 0);
      var id = lab.request(fresh, "check", "", "x", 0);
      assertEquals(fresh.answers.get(id).code(), Code.NO_TABLE);
      fresh.storeUp = true;
      lab.run(5_000);
      assertEquals(version(fresh), 2);
    }
  }
}
