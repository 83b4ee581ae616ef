package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of places for long-running tasks that have to restart on a fleet full of short tasks. */
public class RestartPlacesTest {

  private static final int CORES = 16;
  private static final JobId SERVICE = new JobId("service");
  private static final JobId BACKLOG = new JobId("backlog");
  private static final TaskName RESTARTED = TaskName.parse("service.0.0.0");
  private static final long SHORTEST_MILLIS = 300;
  private static final long LONGEST_MILLIS = 1_000;

  /** Seeds of the durations of short tasks. */
  @DataProvider
  public static Object[][] seeds() {
    return IntStream.range(0, 3).mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
  }

  /**
   * Returns a fleet of four workers that runs a service of one task, on the worker returned by
   * {@link #worker}, and a backlog of short tasks of a sixth of its size that fills all other
   * processors.
   */
  private static JobSimulation fullFleet(int seed) {
    Random random = new Random(seed);
    JobSimulation simulation =
        simulation(
            IntStream.range(0, 4)
                .mapToObj(number -> new SimulatedWorker("w" + number, CORES))
                .toArray(SimulatedWorker[]::new));
    simulation.workMillisOf.put(SERVICE, () -> 600_000);
    simulation.workMillisOf.put(
        BACKLOG, () -> SHORTEST_MILLIS + random.nextInt((int) (LONGEST_MILLIS - SHORTEST_MILLIS)));
    simulation.submit(job("service", step(1, 12, List.of(), StepSpec.Trait.LASTS)));
    simulation.run(500);
    simulation.submit(job("backlog", step(1_500, 2, List.of())));
    simulation.run(3_000);
    return simulation;
  }

  private static SimulatedWorker worker(JobSimulation simulation) {
    return simulation.workers.values().stream()
        .filter(worker -> worker.runs(RESTARTED))
        .findFirst()
        .orElseThrow();
  }

  private static boolean runs(JobSimulation simulation) {
    return simulation.workers.values().stream()
        .anyMatch(worker -> !worker.dead && worker.runs(RESTARTED));
  }

  /** Returns the longest time for which the service does not run, in milliseconds. */
  private static long longestAbsence(JobSimulation simulation, long millis) {
    long longest = 0;
    long absent = 0;
    for (long passed = 0; passed < millis; passed += 10) {
      simulation.run(10);
      absent = runs(simulation) ? 0 : absent + 10;
      longest = Math.max(longest, absent);
    }
    return longest;
  }

  /**
   * Guards against a lost task that waits while smaller, short tasks take all capacity that becomes
   * free.
   */
  @Test(dataProvider = "seeds")
  public void lostTaskRunsAgainSoon(int seed) {
    JobSimulation simulation = fullFleet(seed);
    SimulatedWorker failing = worker(simulation);
    failing.dead = true;
    simulation.post(new JobEvent.WorkerUnlisted(failing.info.incarnation()));
    long absence = longestAbsence(simulation, 20_000);
    long leases = LeaderLease.GRANT_MILLIS + 500;
    assertTrue(absence <= leases + 2 * LONGEST_MILLIS, "away for " + absence + " ms");
  }

  /** Times until a stop is carried out, in milliseconds. */
  @DataProvider
  public static Object[][] stops() {
    return new Object[][] {{500L}, {4_000L}};
  }

  /** Guards against a move that ends a run whose place elsewhere short tasks take meanwhile. */
  @Test(dataProvider = "stops")
  public void movedTaskKeepsItsPlace(long stopMillis) {
    JobSimulation simulation =
        simulation(new SimulatedWorker("w0", CORES), new SimulatedWorker("w1", CORES));
    simulation.workMillisOf.put(SERVICE, () -> 600_000);
    simulation.workMillis = 10_000;
    simulation.submit(job("service", step(1, 12, List.of(), StepSpec.Trait.LASTS)));
    simulation.run(500);
    simulation.delay = effect -> effect instanceof JobEffect.StopRun ? stopMillis : 0;
    simulation.post(JobSimulation.draining(worker(simulation)));
    simulation.run(stopMillis - 200);
    simulation.submit(job("short", step(8, 2, List.of())));
    long absence = longestAbsence(simulation, 5_000);
    assertTrue(absence <= LONGEST_MILLIS, "away for " + absence + " ms");
  }
}
