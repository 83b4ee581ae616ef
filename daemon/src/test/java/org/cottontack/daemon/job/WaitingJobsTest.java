package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.OptionalLong;
import java.util.Set;
import org.cottontack.core.job.JobId;
import org.cottontack.core.job.StartResult;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of which jobs are counted as waiting for their first start. */
public class WaitingJobsTest {

  private static final String JOB = "a";

  /** Time in which the row of a job that has begun is removed, in milliseconds. */
  private static final long REMOVAL_MILLIS = 2_000;

  private static final long TAKEOVER_MILLIS = 6_000;

  private static Set<String> waiting(LeaderSimulation simulation) {
    return simulation.store.table(JobTables.WAITING).keySet();
  }

  /** Lets the worker leave some starts without an answer and refuse all others. */
  private static LeaderSimulation refusing(int unanswered) {
    LeaderSimulation simulation = new LeaderSimulation();
    simulation.startResults =
        number -> number < unanswered ? StartResult.UNKNOWN : StartResult.UNHEALTHY;
    simulation.submit(JOB);
    simulation.time.run(5_000);
    assertTrue(simulation.starts.size() > unanswered);
    return simulation;
  }

  /** Jobs of which no task has started. */
  public static class NotBegun {

    /** Numbers of starts without an answer before those that are refused. */
    @DataProvider
    public Object[][] unanswered() {
      return new Object[][] {{0}, {1}, {2}, {3}};
    }

    /** Guards against a job that is not counted because its worker answers a stop. */
    @Test(dataProvider = "unanswered")
    public void countWhereOnlyStopsAreAnswered(int unanswered) {
      assertEquals(waiting(refusing(unanswered)), Set.of(JOB));
    }

    /** Guards against a job that is not counted because an earlier leader has placed it. */
    @Test(dataProvider = "unanswered")
    public void countAfterChangesOfLeader(int unanswered) {
      LeaderSimulation simulation = refusing(unanswered);
      for (int change = 0; change < 3; change++) {
        simulation.restart();
        simulation.time.run(TAKEOVER_MILLIS);
        assertEquals(waiting(simulation), Set.of(JOB), "after " + change + " changes");
      }
      simulation.startResults = number -> StartResult.STARTED;
      simulation.time.run(TAKEOVER_MILLIS);
      assertEquals(waiting(simulation), Set.of());
    }

    /** Guards against a cancelled job that is counted for ever. */
    @Test(dataProvider = "unanswered")
    public void countNoLongerOnceCancelled(int unanswered) {
      LeaderSimulation simulation = refusing(unanswered);
      simulation.entry.intake().cancel(new JobId(JOB), OptionalLong.empty(), answer -> {});
      simulation.time.run(REMOVAL_MILLIS);
      assertEquals(waiting(simulation), Set.of());
    }
  }

  /** Jobs of which a task has started. */
  public static class Begun {

    /** Whether the run is done before the leader ends. */
    @DataProvider
    public Object[][] runs() {
      return new Object[][] {{false}, {true}};
    }

    /** Guards against a row that stays because its removal is lost with the leader. */
    @Test(dataProvider = "runs")
    public void areRemovedByNextLeader(boolean done) {
      LeaderSimulation simulation = new LeaderSimulation();
      simulation.store.commitBehaviour =
          transaction ->
              transaction.removals().stream().anyMatch(row -> row.table().equals(JobTables.WAITING))
                  ? FakeTableStore.CommitBehaviour.REFUSED
                  : FakeTableStore.CommitBehaviour.GOOD;
      simulation.submit(JOB);
      simulation.time.run(1_000);
      simulation.completesRuns = done;
      simulation.time.run(3_000);
      assertEquals(waiting(simulation), Set.of(JOB));
      simulation.restart();
      simulation.store.commitBehaviour = transaction -> FakeTableStore.CommitBehaviour.GOOD;
      simulation.time.run(TAKEOVER_MILLIS);
      assertEquals(waiting(simulation), Set.of());
    }
  }
}
