package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Tests of the capacity that new services leave to short tasks. */
public class ShortTaskReserveTest {

  private static final int WORKERS = 4;
  private static final int CORES = 16;

  private static JobSpec service(String id, int count, long cores) {
    return job(id, step(count, cores, List.of(), 0, "web", 18, StepSpec.Trait.LASTS));
  }

  private static JobSimulation fleet() {
    return simulation(
        IntStream.range(0, WORKERS)
            .mapToObj(number -> new SimulatedWorker("w" + number, CORES))
            .toArray(SimulatedWorker[]::new));
  }

  private static long running(JobSimulation simulation, String id) {
    return simulation.workers.values().stream().mapToLong(worker -> running(worker, id)).sum();
  }

  private static long running(SimulatedWorker worker, String id) {
    return IntStream.range(0, WORKERS * CORES)
        .mapToObj(index -> TaskName.parse(id + ".0.0." + index))
        .filter(worker::runs)
        .count();
  }

  /**
   * Returns a fleet on which services hold 48 of 64 cores, and short tasks held the other 16 a
   * moment ago.
   */
  private static JobSimulation busyFleet() {
    JobSimulation simulation = fleet();
    simulation.workMillis = 300_000;
    simulation.submit(service("old", 12, 4));
    simulation.run(500);
    simulation.workMillis = 500;
    simulation.submit(job("short", step(4, 4, List.of())));
    simulation.run(1_500);
    return simulation;
  }

  /** Services that have never run. */
  public static class NewServices {

    /**
     * Services hold three quarters of the processors, and short tasks need the rest again and
     * again. A service that began now would block the short tasks for minutes, so it waits.
     */
    @Test
    public void waitWhileShortTasksNeedCapacity() {
      JobSimulation simulation = busyFleet();
      simulation.workMillis = 300_000;
      simulation.submit(service("new", 4, 4));
      simulation.run(5_000);
      assertEquals(running(simulation, "new"), 0);
      simulation.workMillis = 500;
      simulation.submit(job("next", step(4, 4, List.of())));
      simulation.run(200);
      assertEquals(running(simulation, "next"), 4);
    }

    /** Short tasks no longer arrive. Their last peak decays, and the service begins. */
    @Test
    public void beginOnceThePeakHasDecayed() {
      JobSimulation simulation = busyFleet();
      simulation.workMillis = 300_000;
      simulation.submit(service("new", 1, 4));
      simulation.run(12_000);
      assertEquals(running(simulation, "new"), 1);
    }

    /**
     * Short tasks use all free processors, but services hold few. A new service would wait beside a
     * fleet that is half idle, so it begins at once.
     */
    @Test
    public void beginWhereLittleIsReserved() {
      JobSimulation simulation = fleet();
      simulation.submit(job("short", step(16, 4, List.of())));
      simulation.run(1_500);
      simulation.workMillis = 300_000;
      simulation.submit(service("new", 4, 4));
      simulation.run(300);
      assertEquals(running(simulation, "new"), 4);
    }
  }

  /** Services that have run before. */
  public static class RestartedServices {

    /**
     * A worker is lost with four tasks of a service. Its users miss them, so they restart as soon
     * as the worker's leases have ended, although that leaves short tasks less capacity than they
     * need.
     */
    @Test
    public void restartThoughShortTasksNeedCapacity() {
      JobSimulation simulation = busyFleet();
      SimulatedWorker lost =
          simulation.workers.values().stream()
              .filter(worker -> running(worker, "old") > 0)
              .findFirst()
              .orElseThrow();
      simulation.workMillis = 300_000;
      final long before = running(simulation, "old");
      lost.dead = true;
      simulation.post(new JobEvent.WorkerUnlisted(lost.info.incarnation()));
      simulation.run(12_000);
      assertEquals(running(simulation, "old") - running(lost, "old"), before);
    }
  }

  /** Replays of workloads against all decisions of a leader. */
  public static class Replayed {

    private static final double SERVICES = 0.95;
    private static final double HARMFUL = 0.35;
    private static final int SEEDS = 3;

    /**
     * Services request 95 % of the processors, short jobs 5 % and more. Nine in ten of the short
     * jobs, by value, are complete in time. If services could take all capacity that becomes free,
     * it would be six in ten. Services get nine tenths of the time that they request.
     */
    @Test
    public void shortJobsFindCapacityBesideServices() {
      ReplayOutcome mean = Replay.mean(ReplayShape.usual().sharing(SERVICES, HARMFUL), SEEDS);
      assertTrue(mean.shorts() > 0.9, mean.toString());
      assertTrue(mean.serving() > 0.9, mean.toString());
    }
  }
}
