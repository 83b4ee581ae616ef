package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Tests of the room that new services leave to short tasks. */
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

  private static long running(JobSimulation lab, String id) {
    return lab.workers.values().stream().mapToLong(worker -> running(worker, id)).sum();
  }

  private static long running(SimulatedWorker worker, String id) {
    return IntStream.range(0, WORKERS * CORES)
        .mapToObj(index -> TaskName.parse(id + ".0.0." + index))
        .filter(worker::runs)
        .count();
  }

  /** Services hold 48 of 64 cores; short tasks then held the other 16 a moment ago. */
  private static JobSimulation busy() {
    JobSimulation lab = fleet();
    lab.workMillis = 300_000;
    lab.submit(service("old", 12, 4));
    lab.run(500);
    lab.workMillis = 500;
    lab.submit(job("short", step(4, 4, List.of())));
    lab.run(1_500);
    return lab;
  }

  /** New services. */
  public static class Beginning {

    /**
     * Services hold three quarters of the processors and short tasks need the rest again and again.
     * A service that begins now would keep them out for minutes; it waits.
     */
    @Test
    public void waitsWhileShortTasksNeedTheRoom() {
      JobSimulation lab = busy();
      lab.workMillis = 300_000;
      lab.submit(service("new", 4, 4));
      lab.run(5_000);
      assertEquals(running(lab, "new"), 0);
      lab.workMillis = 500;
      lab.submit(job("next", step(4, 4, List.of())));
      lab.run(200);
      assertEquals(running(lab, "next"), 4);
    }

    /** Short tasks no longer come: their last peak is forgotten, and the service begins. */
    @Test
    public void beginsOnceThePeakIsForgotten() {
      JobSimulation lab = busy();
      lab.workMillis = 300_000;
      lab.submit(service("new", 1, 4));
      lab.run(12_000);
      assertEquals(running(lab, "new"), 1);
    }

    /**
     * Short tasks take all that is left, but services hold little. The users of a new one would see
     * it wait beside a fleet that is half idle, so it begins at once.
     */
    @Test
    public void beginsWhereLittleIsReserved() {
      JobSimulation lab = fleet();
      lab.submit(job("short", step(16, 4, List.of())));
      lab.run(1_500);
      lab.workMillis = 300_000;
      lab.submit(service("new", 4, 4));
      lab.run(300);
      assertEquals(running(lab, "new"), 4);
    }
  }

  /** Services that ran before. */
  public static class ComingBack {

    /**
     * A worker is lost with four tasks of a service. Its users miss them, so they come back as soon
     * as the worker's leases have ended, though that leaves short tasks less than they need.
     */
    @Test
    public void returnsThoughShortTasksNeedTheRoom() {
      JobSimulation lab = busy();
      SimulatedWorker lost =
          lab.workers.values().stream()
              .filter(worker -> running(worker, "old") > 0)
              .findFirst()
              .orElseThrow();
      lab.workMillis = 300_000;
      final long before = running(lab, "old");
      lost.dead = true;
      lab.post(new JobEvent.WorkerUnlisted(lost.info.incarnation()));
      lab.run(12_000);
      assertEquals(running(lab, "old") - running(lost, "old"), before);
    }
  }

  /** Loads replayed against all decisions of a leader. */
  public static class Replayed {

    private static final double SERVICES = 0.95;
    private static final double HARMFUL = 0.35;
    private static final int SEEDS = 3;

    /**
     * Services ask for 95 % of the processors, short jobs for 5 % and more. Nine in ten of the
     * short ones are served in time, by value; where services took what became free it was six in
     * ten. Services get nine tenths of the time that they ask for.
     */
    @Test
    public void shortJobsFindRoomBesideServices() {
      ReplayOutcome mean = Replay.mean(ReplayShape.usual().sharing(SERVICES, HARMFUL), SEEDS);
      assertTrue(mean.shorts() > 0.9, mean.toString());
      assertTrue(mean.serving() > 0.9, mean.toString());
    }
  }
}
