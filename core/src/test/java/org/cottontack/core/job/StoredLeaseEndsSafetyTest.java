package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a stored end of leases is no earlier than the leases of the runs it speaks for. */
public class StoredLeaseEndsSafetyTest {

  private static final TaskName TASK = TaskName.parse("s.0.0.0");

  private static void submitLongRunning(JobSimulation simulation) {
    simulation.workMillis = 60_000;
    simulation.submit(job("s", step(1, 4, List.of(), StepSpec.Trait.LASTS)));
  }

  /** How long the leader is suspended, in milliseconds. */
  @DataProvider
  static Object[][] suspensions() {
    return LongStream.of(0, 500, 1_000, 1_500, 2_000, 4_000)
        .mapToObj(millis -> new Object[] {millis})
        .toArray(Object[][]::new);
  }

  /**
   * Guards against a second run where a leader whose steady clock stood still renews leases up to
   * an end that it stored before. On its clock that end has moved to a later time.
   */
  @Test(dataProvider = "suspensions")
  public void suspendedLeaderNeverExtendsLeasesPastStoredEnd(long suspended) {
    SimulatedWorker one = new SimulatedWorker("w1", 8);
    SimulatedWorker two = new SimulatedWorker("w2", 8);
    one.speed = WorkerClock.SLOWEST;
    two.speed = WorkerClock.SLOWEST;
    JobSimulation simulation = simulation(one, two);
    submitLongRunning(simulation);
    simulation.run(5_500);
    final SimulatedWorker cut = one.runs(TASK) ? one : two;
    cut.reachable = false;
    simulation.run(2_000);
    simulation.storeUnavailable = true;
    simulation.suspendLeader(suspended);
    cut.reachable = true;
    simulation.run(1_200);
    cut.reachable = false;
    simulation.killLeader();
    simulation.restoreStore();
    simulation.takeOver();
    simulation.run(12_000);
  }

  /** Time until a crashed worker is back, in milliseconds. */
  @DataProvider
  static Object[][] restarts() {
    return LongStream.iterate(2_670, millis -> millis < 3_000, millis -> millis + 30)
        .mapToObj(millis -> new Object[] {millis})
        .toArray(Object[][]::new);
  }

  /**
   * Guards against a second run where the stored end of a crashed worker's leases is taken for that
   * of its next incarnation, which began the run with a late start. The store is away while the
   * leader finds the run there; the next leader neither reaches nor lists that incarnation.
   */
  @Test(dataProvider = "restarts")
  public void endOfCrashedWorkerDoesNotSpeakForNextIncarnation(long restart) {
    SimulatedWorker one = new SimulatedWorker("w1", 8);
    SimulatedWorker two = new SimulatedWorker("w2", 8);
    JobSimulation simulation = simulation(one, two);
    simulation.keepsIds = true;
    // A late start brings a deadline on the clock of the incarnation that it was meant for. That
    // incarnation has just begun, so the deadline alone outlasts no wait.
    two.reachable = false;
    simulation.run(10_000);
    simulation.restartMillis = 700;
    simulation.crash(one);
    simulation.run(720);
    simulation.late =
        effect -> effect instanceof JobEffect.StartRun start && start.run().run() == 1;
    submitLongRunning(simulation);
    while (simulation.effects.stream().noneMatch(JobEffect.StartRun.class::isInstance)) {
      simulation.run(10);
    }
    two.reachable = true;
    simulation.restartedUnlisted = true;
    simulation.restartMillis = restart;
    simulation.crash(simulation.workers.get(one.info.id()));
    simulation.run(2_900);
    simulation.storeUnavailable = true;
    simulation.run(1_100);
    SimulatedWorker next = simulation.workers.get(one.info.id());
    assertTrue(next.runs(TASK));
    next.reachable = false;
    simulation.killLeader();
    simulation.restoreStore();
    simulation.run(1_000);
    simulation.takeOver();
    simulation.run(12_000);
  }

  /** How long the store is away, in milliseconds: less than a lease. */
  @DataProvider
  static Object[][] outages() {
    return LongStream.of(5_000, 6_000, 7_000, 8_000)
        .mapToObj(millis -> new Object[] {millis})
        .toArray(Object[][]::new);
  }

  /**
   * Guards against leases of workers that answer, and answered nothing for a moment just before the
   * store was away, which end sooner than those of the others.
   */
  @Test(dataProvider = "outages")
  public void runsOfWorkersThatAnswerAgainOutlastAnOutage(long outage) {
    SimulatedWorker[] workers =
        IntStream.range(0, 20)
            .mapToObj(number -> new SimulatedWorker("w" + number, 4))
            .toArray(SimulatedWorker[]::new);
    Stream.of(workers).forEach(worker -> worker.loads.put("s", 1.0));
    JobSimulation simulation = simulation(workers);
    simulation.maxWaitMillis = 2_000;
    simulation.workMillis = 60_000;
    simulation.submit(job("s", step(20, 4, List.of(), StepSpec.Trait.LASTS)));
    simulation.run(6_000);
    Stream.of(workers).limit(10).forEach(worker -> worker.reachable = false);
    simulation.run(2_600);
    simulation.storeUnavailable = true;
    Stream.of(workers).limit(10).forEach(worker -> worker.reachable = true);
    simulation.run(outage);
    assertEquals(Stream.of(workers).mapToInt(SimulatedWorker::count).sum(), 20);
  }
}
