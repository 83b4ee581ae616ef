package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.restartingFleet;
import static org.cottontack.core.job.JobFixtures.step;
import static org.cottontack.core.job.KnowledgeAcrossLeadersTest.runUntil;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of starts that get no answer although their worker lists the run that they began. */
public class ListedStartTest {

  static final TaskName TASK = TaskName.parse("s.0.0.0");

  /** Time from the last activity of a killed leader until the next one has begun. */
  static final long TAKEOVER_MILLIS = 2_500;

  /** Time from the end of a stopped leader until the next one has begun. */
  private static final long HANDOVER_MILLIS = 60;

  /** Time until a worker's report has listed a run that began. */
  private static final long LISTED_MILLIS = 200;

  /** Longest permitted absence of a long-running task after a loss of its worker. */
  static final long MAX_ABSENCE_MILLIS = 9_000;

  /** Shortest time from a worker's report that it drains until it leaves. */
  static final long DRAIN_MILLIS = 3_000;

  static boolean isStart(JobEffect effect) {
    return effect instanceof JobEffect.StartRun start && start.run().task().equals(TASK);
  }

  static boolean runs(JobSimulation simulation) {
    return simulation.workers.values().stream().anyMatch(worker -> worker.runs(TASK));
  }

  static SimulatedWorker workerOf(JobSimulation simulation) {
    return simulation.workers.values().stream()
        .filter(worker -> worker.runs(TASK))
        .findFirst()
        .orElseThrow();
  }

  private static JobSimulation submitted() {
    JobSimulation simulation = restartingFleet(3);
    simulation.workMillis = 600_000;
    simulation.submit(job("s", step(1, 4, List.of(), StepSpec.Trait.LASTS)));
    return simulation;
  }

  /** Returns a long-running task whose start is carried out at once and whose answer is lost. */
  private static JobSimulation withLostAnswer() {
    JobSimulation simulation = submitted();
    simulation.lost = ListedStartTest::isStart;
    runUntil(simulation, simulation.now + 1_000, () -> runs(simulation));
    simulation.run(LISTED_MILLIS);
    simulation.lost = effect -> false;
    return simulation;
  }

  /** Starts that are sent once: the listed run shows that none is in flight. */
  public static class SentOnce {

    /** Time of the loss after the start, of the change after the loss, and whether it is a kill. */
    @DataProvider
    public Object[][] changes() {
      return LongStream.of(100, 1_300, 3_800, 6_800)
          .boxed()
          .flatMap(
              loss ->
                  LongStream.of(300, 900, 1_500, 2_000, 4_000, 6_000)
                      .boxed()
                      .flatMap(
                          change ->
                              Stream.of(false, true)
                                  .map(killed -> new Object[] {loss, change, killed})))
          .toArray(Object[][]::new);
    }

    /**
     * Guards against a task that waits anew after a change of leaders, because the end of its lost
     * worker's leases is not stored while its start counts as in flight.
     */
    @Test(dataProvider = "changes")
    public void taskOfLostWorkerReturnsInTime(long loss, long change, boolean killed) {
      JobSimulation simulation = withLostAnswer();
      simulation.run(loss);
      workerOf(simulation).dead = true;
      final long lostMillis = simulation.now;
      simulation.run(change);
      if (killed) {
        simulation.killLeader();
        simulation.run(TAKEOVER_MILLIS);
      } else {
        simulation.endLeader();
        simulation.run(HANDOVER_MILLIS);
      }
      simulation.takeOver();
      runUntil(simulation, lostMillis + 30_000, () -> runs(simulation));
      long absent = simulation.now - lostMillis;
      assertTrue(absent <= MAX_ABSENCE_MILLIS, "absent for " + absent + " ms");
    }

    /** Guards against a task that stays on a draining worker until that has left. */
    @Test
    public void taskMovesOffDrainingWorkerInTime() {
      JobSimulation simulation = withLostAnswer();
      SimulatedWorker draining = workerOf(simulation);
      simulation.post(JobSimulation.draining(draining));
      simulation.run(DRAIN_MILLIS);
      assertTrue(runs(simulation) && !draining.runs(TASK));
    }

    /** Longest time that a worker waits before it answers a poll, in milliseconds. */
    @DataProvider
    public Object[][] waits() {
      return new Object[][] {{50L}, {500L}, {800L}, {1_000L}};
    }

    /**
     * Guards against a second order for a run that its worker lists only after the answer to the
     * first one was given up.
     */
    @Test(dataProvider = "waits")
    public void listedRunIsNotStartedAgain(long wait) {
      JobSimulation simulation = submitted();
      simulation.maxWaitMillis = wait;
      simulation.lost = ListedStartTest::isStart;
      simulation.run(500);
      simulation.lost = effect -> false;
      simulation.run(2_000);
      assertEquals(simulation.effects.stream().filter(ListedStartTest::isStart).count(), 1);
    }
  }

  /** Starts that are sent again: the run may be that of one while the other is in flight. */
  public static class SentAgain {

    /** Time between a worker's restart and the arrival of a late start. */
    private static final long BACK_BEFORE_MILLIS = 20;

    /** Arrival of the first start, and loss of its worker after that start. */
    @DataProvider
    public Object[][] losses() {
      return LongStream.of(6_000, 8_400, 9_500, 11_000, 11_900)
          .boxed()
          .flatMap(late -> Stream.of(1_500L, 3_000L, 5_000L).map(loss -> new Object[] {late, loss}))
          .toArray(Object[][]::new);
    }

    /**
     * Guards against a listed run that is taken for that of the first start, which arrives on the
     * worker's next incarnation.
     */
    @Test(dataProvider = "losses")
    public void runsNoTaskTwice(long late, long loss) {
      JobSimulation simulation = submitted();
      final long sent = simulation.now;
      final long arrives = sent + late;
      simulation.delay = effect -> isStart(effect) ? arrives - simulation.now : 0;
      simulation.run(300);
      simulation.delay = effect -> 0;
      runUntil(simulation, sent + 3_000, () -> runs(simulation));
      simulation.run(sent + loss - simulation.now);
      SimulatedWorker worker = workerOf(simulation);
      final WorkerId id = worker.info.id();
      simulation.restartMillis = arrives - BACK_BEFORE_MILLIS - simulation.now;
      simulation.crash(worker);
      simulation.run(30_000);
      long running = simulation.workers.values().stream().filter(other -> other.runs(TASK)).count();
      assertEquals(running, 1, id.toString());
    }
  }
}
