package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of how long tasks wait for the leases of a lost worker while leaders come and go. */
public class LostWorkerAcrossLeadersTest {

  private static final TaskName TASK = TaskName.parse("s.0.0.0");

  /** Time from the last activity of a killed leader until the next one has begun. */
  private static final long TAKEOVER_MILLIS = 2_500;

  /** Time from the end of a stopped leader until the next one has begun. */
  private static final long HANDOVER_MILLIS = 60;

  private static JobSimulation withLongRunningTask(SimulatedWorker... workers) {
    JobSimulation simulation = simulation(workers);
    simulation.workMillis = 60_000;
    simulation.submit(job("s", step(1, 4, List.of(), StepSpec.Trait.LASTS)));
    simulation.run(5_500);
    return simulation;
  }

  private static void endLeader(JobSimulation simulation, boolean killed) {
    if (killed) {
      simulation.killLeader();
      simulation.run(TAKEOVER_MILLIS);
    } else {
      simulation.endLeader();
      simulation.run(HANDOVER_MILLIS);
    }
    simulation.takeOver();
  }

  /** A worker that is lost for good. */
  public static class Lost {

    /** Time until a leader has noticed that a worker does not answer. */
    private static final long DETECTION_MILLIS = 1_500;

    /** Longest absence of a long-running task whose worker and leader are lost together. */
    private static final long ABSENT_MILLIS = 9_000;

    /** Time of the first change of leaders after the loss, time between two, and their number. */
    @DataProvider
    static Object[][] series() {
      return LongStream.of(300, 800, 1_300, 2_000, 4_460, 6_300, 8_000)
          .boxed()
          .flatMap(
              first ->
                  LongStream.of(1_000, 1_800)
                      .boxed()
                      .flatMap(
                          gap -> Stream.of(1, 2, 7).map(count -> new Object[] {first, gap, count})))
          .toArray(Object[][]::new);
    }

    private static void runUntilPlaced(JobSimulation simulation, SimulatedWorker on, long end) {
      while (!on.runs(TASK) && simulation.now < end) {
        simulation.run(10);
      }
    }

    private static void assertReturnsInTime(long first, long gap, int count, boolean killed) {
      SimulatedWorker one = new SimulatedWorker("w1", 8);
      SimulatedWorker two = new SimulatedWorker("w2", 8);
      JobSimulation simulation = withLongRunningTask(one, two);
      final SimulatedWorker lost = one.runs(TASK) ? one : two;
      final SimulatedWorker other = lost == one ? two : one;
      lost.dead = true;
      final long lostMillis = simulation.now;
      simulation.run(first);
      for (int i = 0; i < count && !other.runs(TASK); i++) {
        endLeader(simulation, killed);
        runUntilPlaced(simulation, other, simulation.now + gap);
      }
      runUntilPlaced(simulation, other, lostMillis + 40_000);
      long bound =
          Math.min(first, DETECTION_MILLIS) + ABSENT_MILLIS + (killed ? TAKEOVER_MILLIS : 0);
      long absent = simulation.now - lostMillis;
      assertTrue(absent <= bound, "absent for " + absent + " ms");
    }

    /** Guards against leaders that each wait anew for a lost worker, as they stop one by one. */
    @Test(dataProvider = "series")
    public void longRunningTaskReturnsWhileLeadersStop(long first, long gap, int count) {
      assertReturnsInTime(first, gap, count, false);
    }

    /** Guards against leaders that each wait anew for a lost worker, as they are killed in turn. */
    @Test(dataProvider = "series")
    public void longRunningTaskReturnsWhileLeadersAreKilled(long first, long gap, int count) {
      assertReturnsInTime(first, gap, count, true);
    }
  }
}
