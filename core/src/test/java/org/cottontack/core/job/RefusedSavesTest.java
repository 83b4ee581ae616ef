package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Tests of a leader whose store refuses some saves for their content. */
public class RefusedSavesTest {

  private static final JobSpec REFUSED = job("refused", step(2, 1, List.of()));

  private static final ProgressRowId ROW = ProgressRowId.main(REFUSED.id());

  private static JobSimulation fleet() {
    JobSimulation simulation = FinalCompletionsTest.fleet(2, 8);
    simulation.workMillis = 500;
    return simulation;
  }

  private static List<JobSpec> submit(JobSimulation simulation, String name) {
    List<JobSpec> jobs =
        IntStream.range(0, 10).mapToObj(i -> job(name + i, step(4, 1, List.of()))).toList();
    jobs.forEach(simulation::submit);
    return jobs;
  }

  /** Saves of the progress of one job. */
  public static class OfOneJob {

    /** Guards against a refused job that keeps all others from starting. */
    @Test
    public void leaveOtherJobsGoing() {
      JobSimulation simulation = fleet();
      simulation.refusedSaves = save -> save.progress().containsKey(ROW);
      simulation.submit(REFUSED);
      final List<JobSpec> others = submit(simulation, "other");
      simulation.run(20_000);
      JobFixtures.assertComplete(simulation, others);
      assertEquals(simulation.starts(), 40);
    }

    /**
     * Guards against a refused job that keeps the completions of others from being acknowledged.
     */
    @Test
    public void leaveCompletionsOfOtherJobsAcknowledged() {
      JobSimulation simulation = fleet();
      simulation.refusedSaves = save -> save.progress().containsKey(ROW);
      simulation.submit(REFUSED);
      submit(simulation, "other");
      simulation.run(20_000);
      long acknowledged =
          simulation.workers.values().stream()
              .mapToLong(SimulatedWorker::lastAcknowledgedCompletion)
              .sum();
      assertEquals(acknowledged, 40);
    }

    /** Guards against starts and acknowledgements of a job that is not stored. */
    @Test
    public void holdBackOnlyItsOwnCompletions() {
      JobSimulation simulation = fleet();
      simulation.submit(REFUSED);
      simulation.run(200);
      assertEquals(simulation.starts(), 2);
      simulation.refusedSaves = save -> save.progress().containsKey(ROW);
      simulation.run(2_000);
      assertEquals(simulation.phase(REFUSED.id()), JobPhase.RUNNING);
      simulation.workers.values().stream()
          .map(SimulatedWorker::lastAcknowledgedCompletion)
          .forEach(number -> assertEquals(number, 0L));
      simulation.refusedSaves = save -> false;
      simulation.run(70_000);
      JobFixtures.assertComplete(simulation, List.of(REFUSED));
      assertEquals(simulation.starts(), 2);
    }

    /** Guards against a refused save that is repeated without a pause. */
    @Test
    public void areRepeatedWithGrowingPauses() {
      JobSimulation simulation = fleet();
      int[] refusals = {0};
      simulation.refusedSaves =
          save -> {
            boolean refused = save.progress().containsKey(ROW);
            refusals[0] += refused ? 1 : 0;
            return refused;
          };
      simulation.submit(REFUSED);
      simulation.run(60_000);
      assertTrue(refusals[0] <= 8, "refusals: " + refusals[0]);
    }

    /** Guards against a takeover that loses runs of a job whose last save was refused. */
    @Test
    public void repeatNothingAfterChangeOfLeaders() {
      JobSimulation simulation = fleet();
      simulation.submit(REFUSED);
      simulation.run(200);
      simulation.refusedSaves = save -> save.progress().containsKey(ROW);
      submit(simulation, "other");
      simulation.run(5_000);
      simulation.refusedSaves = save -> false;
      simulation.killLeader();
      simulation.run(2_500);
      simulation.takeOver();
      simulation.run(10_000);
      JobFixtures.assertComplete(simulation, List.of(REFUSED));
      assertEquals(simulation.starts(), 42);
    }
  }

  /** Saves of what leaders learn. */
  public static class OfSharedRows {

    /** Guards against refused rows of learned data that keep all jobs from being saved. */
    @Test
    public void leaveJobsGoing() {
      JobSimulation simulation = fleet();
      simulation.refusedSaves = save -> !save.learned().isEmpty();
      List<JobSpec> jobs = submit(simulation, "job");
      simulation.run(20_000);
      JobFixtures.assertComplete(simulation, jobs);
      assertEquals(simulation.starts(), 40);
    }
  }
}
