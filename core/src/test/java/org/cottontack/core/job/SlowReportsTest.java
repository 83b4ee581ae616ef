package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.restartingFleet;
import static org.cottontack.core.job.JobFixtures.step;
import static org.cottontack.core.job.KnowledgeAcrossLeadersTest.runUntil;
import static org.cottontack.core.job.ListedStartTest.DRAIN_MILLIS;
import static org.cottontack.core.job.ListedStartTest.MAX_ABSENCE_MILLIS;
import static org.cottontack.core.job.ListedStartTest.TAKEOVER_MILLIS;
import static org.cottontack.core.job.ListedStartTest.TASK;
import static org.cottontack.core.job.ListedStartTest.runs;
import static org.cottontack.core.job.ListedStartTest.workerOf;
import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of long-running tasks on workers that wait for a completion before they answer a poll. */
public class SlowReportsTest {

  /** Time between the phases of polls that are tried, in milliseconds. */
  private static final long PHASE_MILLIS = 50;

  /** Returns a simulation in which workers wait for as long as polls allow. */
  private static JobSimulation started(boolean loseAnswer, long phase) {
    JobSimulation simulation = restartingFleet(3);
    simulation.workMillis = 600_000;
    simulation.maxWaitMillis = JobTiming.STANDARD.pollWaitMillis();
    simulation.workers.values().forEach(worker -> worker.loads.put("other", 0.0));
    // Each worker runs something, so that each has a poll in flight.
    simulation.submit(job("o", step(3, 4, List.of(), StepSpec.Trait.LASTS)));
    simulation.run(2_000 + phase);
    simulation.lost = effect -> loseAnswer && ListedStartTest.isStart(effect);
    simulation.submit(job("s", step(1, 3, List.of(), StepSpec.Trait.LASTS)));
    runUntil(simulation, simulation.now + 1_000, () -> runs(simulation));
    simulation.run(200);
    simulation.lost = effect -> false;
    return simulation;
  }

  private static LongStream phases() {
    return LongStream.iterate(0, phase -> phase < 1_000, phase -> phase + PHASE_MILLIS);
  }

  /** Guards against a second order that is sent while the report that lists the run is due. */
  @Test
  public void listedRunIsNotStartedAgain() {
    long again =
        phases()
            .filter(
                phase -> {
                  JobSimulation simulation = started(true, phase);
                  simulation.run(4_000);
                  return simulation.effects.stream().filter(ListedStartTest::isStart).count() > 1;
                })
            .count();
    assertEquals(again, 0, "phases of " + phases().count());
  }

  /**
   * Guards against a start that counts as ignored because the worker has accepted a second order
   * for the run that the first one began.
   */
  @Test
  public void taskMovesOffDrainingWorkerInTime() {
    long late =
        phases()
            .filter(
                phase -> {
                  JobSimulation simulation = started(true, phase);
                  simulation.run(2_000);
                  SimulatedWorker draining = workerOf(simulation);
                  simulation.post(JobSimulation.draining(draining));
                  simulation.run(DRAIN_MILLIS + simulation.maxWaitMillis);
                  return !runs(simulation) || draining.runs(TASK);
                })
            .count();
    assertEquals(late, 0, "phases of " + phases().count());
  }

  /** Time from the loss of the worker to the kill of the leader. */
  @DataProvider
  public Object[][] kills() {
    return LongStream.of(0, 300, 1_000, 1_500, 1_750, 2_000, 4_000)
        .mapToObj(kill -> new Object[] {kill})
        .toArray(Object[][]::new);
  }

  /**
   * Guards against a task that waits anew because its leader is killed before it has noticed the
   * loss of the worker.
   */
  @Test(dataProvider = "kills")
  public void taskOfLostWorkerReturnsInTime(long kill) {
    long late =
        phases()
            .map(
                phase -> {
                  JobSimulation simulation = started(false, phase);
                  simulation.run(3_000);
                  workerOf(simulation).dead = true;
                  final long lostMillis = simulation.now;
                  simulation.run(kill);
                  simulation.killLeader();
                  simulation.run(TAKEOVER_MILLIS);
                  simulation.takeOver();
                  runUntil(simulation, lostMillis + 30_000, () -> runs(simulation));
                  return simulation.now - lostMillis;
                })
            .max()
            .orElseThrow();
    assertEquals(Math.max(late, MAX_ABSENCE_MILLIS), MAX_ABSENCE_MILLIS, "longest absence");
  }
}
