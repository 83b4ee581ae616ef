package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.assertComplete;
import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests with a leader that does not know that it was deposed: cut off from the store together with
 * some workers, it goes on polling them while the next leader reaches the others.
 */
public class DeposedLeaderTest {

  /** Time from the last activity of a leader until the next one has begun. */
  private static final long TAKEOVER_MILLIS = 2_300;

  /** Longest lease at a worker that cuts leases, in milliseconds. */
  private static final long SHORT_LEASE_MILLIS = 6_000;

  private static SimulatedWorker worker(int number, boolean slow, boolean shortLeases) {
    SimulatedWorker worker = new SimulatedWorker("w" + number, 4);
    worker.speed = slow ? WorkerClock.SLOWEST : 1;
    worker.maxLeaseMillis = shortLeases ? SHORT_LEASE_MILLIS : worker.maxLeaseMillis;
    return worker;
  }

  /** One cut that ends about when the wait for the leases of the worker ends. */
  public static class OneCut {

    private static final TaskName TASK = TaskName.parse("j.0.0.0");

    /** When the run is done after the cut, how long the cut lasts, and the worker's clock. */
    @DataProvider
    static Object[][] cuts() {
      return LongStream.of(-60, -15, 10, 400, 3_000)
          .boxed()
          .flatMap(
              done ->
                  LongStream.iterate(7_900, millis -> millis <= 9_300, millis -> millis + 10)
                      .boxed()
                      .flatMap(
                          cut ->
                              Stream.of(true, false).map(slow -> new Object[] {done, cut, slow})))
          .toArray(Object[][]::new);
    }

    /**
     * Guards against a second run of a task that is done, where the worker with its completion was
     * reached by the deposed leader only and comes back when the next one has just waited for it.
     */
    @Test(dataProvider = "cuts")
    public void doneTaskDoesNotRunAgain(long done, long cut, boolean slow) {
      SimulatedWorker one = worker(1, slow, done % 20 == 0);
      SimulatedWorker two = worker(2, slow, done % 20 == 0);
      JobSimulation simulation = simulation(one, two);
      simulation.workMillis = 3_000;
      JobSpec job = job("j", step(1, 4, List.of()));
      simulation.submit(job);
      while (!one.runs(TASK) && !two.runs(TASK)) {
        simulation.run(10);
      }
      simulation.run(3_000 - done);
      simulation.isolateLeader(one.starts.isEmpty() ? two : one);
      final long healed = simulation.now + cut;
      simulation.run(TAKEOVER_MILLIS);
      simulation.takeOver();
      simulation.run(healed - simulation.now);
      simulation.reunite();
      simulation.run(6_000);
      assertComplete(simulation, List.of(job));
    }
  }

  /** Many cuts, with leaders that end in other ways as well. */
  public static class Overlapping {

    private static final int WORKERS = 4;

    /** Seeds of random series. */
    @DataProvider
    static Object[][] seeds() {
      return LongStream.rangeClosed(1, Long.getLong("seeds", 200))
          .mapToObj(seed -> new Object[] {seed})
          .toArray(Object[][]::new);
    }

    /** Guards against a second run of a task that is done, and against tasks that are never run. */
    @Test(dataProvider = "seeds")
    public void doneTaskDoesNotRunAgain(long seed) {
      Random random = new Random(seed);
      SimulatedWorker[] workers =
          IntStream.range(0, WORKERS)
              .mapToObj(number -> worker(number, random.nextBoolean(), random.nextBoolean()))
              .toArray(SimulatedWorker[]::new);
      JobSimulation simulation = simulation(workers);
      simulation.maxWaitMillis = random.nextBoolean() ? 50 : 700;
      simulation.savesOutliveLeaders = random.nextBoolean();
      boolean late = random.nextBoolean();
      simulation.delay = order -> late && random.nextInt(50) == 0 ? 2 + random.nextInt(4_000) : 0;
      List<JobSpec> jobs = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        simulation.workMillis = 100L + random.nextInt(random.nextBoolean() ? 5_000 : 1_000);
        switch (random.nextInt(8)) {
          case 0, 1, 2 -> {
            JobSpec job = job("j" + i, step(1 + random.nextInt(3), 2, List.of()));
            jobs.add(job);
            simulation.submit(job);
          }
          case 3 -> workers[random.nextInt(WORKERS)].reachable = random.nextBoolean();
          case 4 -> {
            simulation.endLeader();
            simulation.run(60);
            simulation.takeOver();
          }
          case 5 -> {
            simulation.killLeader();
            simulation.run(TAKEOVER_MILLIS + random.nextInt(400));
            simulation.takeOver();
          }
          case 6 -> {
            simulation.isolateLeader(
                Stream.of(workers)
                    .filter(worker -> random.nextBoolean())
                    .toArray(SimulatedWorker[]::new));
            simulation.run(TAKEOVER_MILLIS + random.nextInt(400));
            simulation.takeOver();
            simulation.run(
                random.nextBoolean() ? random.nextInt(9_000) : 5_300 + random.nextInt(1_500));
            simulation.reunite();
          }
          default -> {
            simulation.storeUnavailable = true;
            simulation.run(random.nextInt(1_900));
            simulation.restoreStore();
          }
        }
        simulation.run(random.nextInt(1_500));
      }
      Stream.of(workers).forEach(worker -> worker.reachable = true);
      simulation.reunite();
      simulation.run(30_000);
      assertComplete(simulation, jobs);
    }
  }
}
