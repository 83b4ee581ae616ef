package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.RESTART_MILLIS;
import static org.cottontack.core.job.JobFixtures.assertComplete;
import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.restartingFleet;
import static org.cottontack.core.job.JobFixtures.step;
import static org.cottontack.core.job.JobFixtures.submit;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.Predicate;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.Test;

/**
 * Tests of runs whose completion is suppressed, so that the leader cannot know whether they were
 * done.
 */
public class OrdersInDoubtTest {

  /**
   * Time between a worker's restart and the arrival of a late poll, in milliseconds: too short for
   * its leader to poll it.
   */
  private static final long BACK_BEFORE_MILLIS = 20;

  private static final WorkerId FIRST = new WorkerId("w0");

  private static JobSimulation fleet() {
    JobSimulation simulation = restartingFleet(1);
    simulation.listsCrashedWorkers = true;
    simulation.run(1_000);
    return simulation;
  }

  private static void runUntil(JobSimulation simulation, long millis) {
    simulation.run(Math.max(0, millis - simulation.now));
  }

  private static boolean acknowledges(JobEffect effect) {
    return effect instanceof JobEffect.LookAtWorker poll && poll.acknowledged() > 0;
  }

  /** Delays the next acknowledgement and returns when it arrives. */
  private static long acknowledgeLate(JobSimulation simulation, long delay) {
    simulation.delay = effect -> acknowledges(effect) ? delay : 0;
    for (int i = 0;
        i < 1_000 && simulation.effects.stream().noneMatch(OrdersInDoubtTest::acknowledges);
        i++) {
      simulation.run(10);
    }
    final long arrives = simulation.now + delay;
    simulation.run(10);
    simulation.delay = effect -> 0;
    return arrives;
  }

  private static void crashAndRestartAt(JobSimulation simulation, long millis) {
    runUntil(simulation, millis - RESTART_MILLIS);
    simulation.crash(simulation.workers.get(FIRST));
    runUntil(simulation, millis);
  }

  /** A start and an acknowledgement that both reach the next incarnation before it is polled. */
  public static class BothInDoubt {

    /**
     * Simulates a start that arrives at the next incarnation, as does the acknowledgement that
     * suppresses the completion of its run.
     *
     * @param afterMillis how long after that incarnation started the start arrives
     * @param workMillis how long its run takes
     * @param lost which orders to that incarnation are lost for 3 s
     */
    private static void assertDoneOnce(
        long afterMillis, long workMillis, Predicate<JobEffect> lost) {
      JobSimulation simulation = fleet();
      final List<JobSpec> before = submit(simulation, "before", 2);
      final long arrives = acknowledgeLate(simulation, 4_000);
      final long startMillis = arrives - BACK_BEFORE_MILLIS;
      runUntil(simulation, startMillis - RESTART_MILLIS - 100);
      long startDelayMillis = startMillis + afterMillis + BACK_BEFORE_MILLIS - simulation.now;
      simulation.delay = effect -> effect instanceof JobEffect.StartRun ? startDelayMillis : 0;
      final JobSpec late = job("late", step(1, 2, List.of()));
      simulation.submit(late);
      simulation.run(50);
      simulation.delay = effect -> 0;
      simulation.workMillis = workMillis;
      crashAndRestartAt(simulation, startMillis);
      simulation.lost = lost;
      simulation.run(3_000);
      simulation.lost = effect -> false;
      simulation.workMillis = 500;
      simulation.run(30_000);
      assertTrue(simulation.workers.get(FIRST).lastAcknowledgedCompletion() > 0);
      assertComplete(simulation, before);
      assertComplete(simulation, List.of(late));
    }

    /**
     * Guards against a late run that is done before it is listed or before its immediate stop, and
     * runs again.
     */
    @Test
    public void runsNothingAgainThatBeganLate() {
      for (long after = 0; after <= 250; after += 50) {
        assertDoneOnce(after, 150, effect -> false);
        assertDoneOnce(
            after,
            500,
            effect -> effect instanceof JobEffect.StopRun stop && stop.run().run() == 1);
      }
    }
  }

  /** Runs that take less time than their caller stated. */
  public static class ShorterThanExpected {

    /** Guards against a run that is done before its short lease ends. */
    @Test
    public void runsNothingAgainThatIsDoneAtOnce() {
      assertDoneOnce(10);
    }

    /** Guards against a run that takes no longer than its start takes to arrive. */
    @Test
    public void runsNothingAgainThatTakesNoTime() {
      assertDoneOnce(1);
    }

    private static void assertDoneOnce(long workMillis) {
      JobSimulation simulation = fleet();
      final List<JobSpec> before = submit(simulation, "before", 2);
      final long arrives = acknowledgeLate(simulation, 3_000);
      crashAndRestartAt(simulation, arrives - BACK_BEFORE_MILLIS);
      simulation.run(RESTART_MILLIS + 1_500);
      simulation.workMillis = workMillis;
      final List<JobSpec> after = submit(simulation, "after", 4);
      simulation.run(40_000);
      assertComplete(simulation, before);
      assertComplete(simulation, after);
    }
  }
}
