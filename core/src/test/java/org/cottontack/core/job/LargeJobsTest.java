package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.cottontack.core.load.LoadControl;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of jobs whose progress does not fit into one row, or not into one transaction. */
public class LargeJobsTest {

  /** Checkpoint of the usual length. */
  private static final String CHECKPOINT = "00000bb87a21d94b-a7c4e19b0d52f836ac1";

  private static JobSimulation fleet(StoreLimits limits, String checkpoint) {
    SimulatedWorker[] workers =
        IntStream.range(0, 4)
            .mapToObj(i -> SimulatedWorker.withUniqueIdentifier("i-7f3a91c" + i, 16))
            .peek(worker -> worker.checkpoint = checkpoint)
            .toArray(SimulatedWorker[]::new);
    JobSimulation simulation = new JobSimulation(LoadControl.OFF, limits, workers);
    simulation.table(JobFixtures.TABLE);
    simulation.run(200);
    return simulation;
  }

  private static JobSpec large(int... counts) {
    List<StepSpec> steps = new ArrayList<>();
    for (int count : counts) {
      List<Integer> after = steps.isEmpty() ? List.of() : List.of(steps.size() - 1);
      steps.add(TestStep.tasks(count).cpu(50).after(after).of(StepSpec.Trait.CHECKPOINTS));
    }
    return job("large", steps.toArray(StepSpec[]::new));
  }

  /** Submits small jobs and runs until the large one can be complete. */
  private static List<JobSpec> runBesideSmallJobs(JobSimulation simulation, long millis) {
    List<JobSpec> small = new ArrayList<>();
    for (long i = 0; i < millis; i += 400) {
      JobSpec job = job("small" + i, step(2, 1, List.of()));
      small.add(job);
      simulation.submit(job);
      simulation.run(400);
    }
    simulation.run(5_000);
    return small;
  }

  private static void takeOver(JobSimulation simulation) {
    simulation.killLeader();
    simulation.run(2_500);
    simulation.takeOver();
  }

  /** Limits of the store: the usual ones, and such that a save takes several transactions. */
  @DataProvider
  public static Object[][] limits() {
    return new Object[][] {
      {new StoreLimits(10_000_000, 1_000_000, 100)},
      {StoreLimits.STANDARD},
      {new StoreLimits(65_536, 110_000, 100)},
      {new StoreLimits(2_048, 1_000_000, 100)}
    };
  }

  /** Jobs with many tasks. */
  public static class ManyTasks {

    /** Guards against a job that outgrows its row and stops all jobs. */
    @Test(dataProvider = "limits", dataProviderClass = LargeJobsTest.class)
    public void completeBesideSmallJobs(StoreLimits limits) {
      JobSimulation simulation = fleet(limits, CHECKPOINT);
      JobSpec large = large(300, 300, 300, 300, 300);
      simulation.submit(large);
      List<JobSpec> small = runBesideSmallJobs(simulation, 8_000);
      JobFixtures.assertComplete(simulation, small);
      JobFixtures.assertComplete(simulation, List.of(large));
      assertEquals(simulation.starts(), 1_500 + 2L * small.size());
    }

    /** Guards against a placement of many tasks at once that does not fit into one row. */
    @Test(dataProvider = "limits", dataProviderClass = LargeJobsTest.class)
    public void startAtOnce(StoreLimits limits) {
      JobSimulation simulation = fleet(limits, CHECKPOINT);
      JobSpec large = large(2_500);
      simulation.submit(large);
      simulation.run(10_000);
      JobFixtures.assertComplete(simulation, List.of(large));
      assertEquals(simulation.starts(), 2_500);
    }

    /** Guards against tasks that run again, or not at all, after a change of leaders. */
    @Test(dataProvider = "limits", dataProviderClass = LargeJobsTest.class)
    public void goOnOverChangesOfLeaders(StoreLimits limits) {
      JobSimulation simulation = fleet(limits, CHECKPOINT);
      JobSpec large = large(700, 700, 700);
      simulation.submit(large);
      simulation.run(700);
      takeOver(simulation);
      simulation.run(800);
      takeOver(simulation);
      simulation.run(10_000);
      JobFixtures.assertComplete(simulation, List.of(large));
      assertEquals(simulation.starts(), 2_100);
    }

    /** Guards against rows that stay in the store once their job has ended. */
    @Test(dataProvider = "limits", dataProviderClass = LargeJobsTest.class)
    public void leaveNoRowsOfTasks(StoreLimits limits) {
      JobSimulation simulation = fleet(limits, CHECKPOINT);
      JobSpec large = large(700, 700);
      simulation.submit(large);
      simulation.run(300);
      assertTrue(simulation.stored.parts(large.id()) > 1);
      simulation.run(10_000);
      JobFixtures.assertComplete(simulation, List.of(large));
      assertEquals(simulation.stored.get(large.id()), StoredProgress.of("c"));
    }
  }

  /** Saves over several transactions. */
  public static class SeveralTransactions {

    private static final StoreLimits LIMITS = new StoreLimits(65_536, 110_000, 100);

    /** Guards against a leader that takes over in the middle of a save and reads a mixed state. */
    @Test
    public void areReadWholeOrNotAtAll() {
      for (int calls = 1; calls < 12; calls++) {
        JobSimulation simulation = fleet(LIMITS, CHECKPOINT);
        JobSpec large = large(700, 700);
        simulation.submit(large);
        for (int i = 0; i < 3_000 && simulation.stored.calls < calls; i++) {
          simulation.run(1);
        }
        takeOver(simulation);
        simulation.run(15_000);
        JobFixtures.assertComplete(simulation, List.of(large));
        assertEquals(simulation.starts(), 1_400, "calls: " + calls);
        assertEquals(simulation.stored.parts(large.id()), 0, "calls: " + calls);
      }
    }
  }

  /** Jobs that fit into a transaction one by one. */
  public static class ManyJobs {

    /** Guards against rows that are small enough each and too large together. */
    @Test
    public void areSavedOverSeveralTransactions() {
      JobSimulation simulation = fleet(StoreLimits.STANDARD, "c".repeat(30_000));
      List<JobSpec> jobs =
          IntStream.range(0, 60).mapToObj(i -> job("job" + i, step(1, 1, List.of()))).toList();
      simulation.workMillis = 60_000;
      jobs.forEach(simulation::submit);
      simulation.run(2_000);
      int[] refused = {0};
      simulation.refusedSaves = save -> !simulation.stored.admits(save) && refused[0]++ >= 0;
      simulation.workers.values().forEach(SimulatedWorker::stopAll);
      simulation.workMillis = 500;
      simulation.run(10_000);
      JobFixtures.assertComplete(simulation, jobs);
      assertEquals(refused[0], 0);
    }
  }

  /** Runs that save much. */
  public static class LongCheckpoints {

    /** Guards against a checkpoint that fits into no row and keeps its task from being saved. */
    @Test
    public void areLeftOutWhereNoRowHoldsThem() {
      JobSimulation simulation = fleet(StoreLimits.STANDARD, "c".repeat(100_000));
      JobSpec large = large(100);
      simulation.workMillis = 60_000;
      simulation.submit(large);
      simulation.run(2_000);
      simulation.workers.values().forEach(SimulatedWorker::stopAll);
      simulation.workMillis = 500;
      simulation.run(10_000);
      JobFixtures.assertComplete(simulation, List.of(large));
      assertEquals(simulation.starts(), 200);
    }

    /** Guards against tasks that fit into a row one by one and not together. */
    @Test
    public void areStoredOverSeveralRows() {
      String checkpoint = "c".repeat(20_000);
      JobSimulation simulation = fleet(StoreLimits.STANDARD, checkpoint);
      JobSpec large = large(100);
      simulation.workMillis = 60_000;
      simulation.submit(large);
      simulation.run(2_000);
      // Tasks that wait again resume from their checkpoints, which are therefore stored.
      simulation.workers.values().forEach(SimulatedWorker::stopAll);
      simulation.workMillis = 500;
      List<JobSpec> small = runBesideSmallJobs(simulation, 8_000);
      JobFixtures.assertComplete(simulation, small);
      JobFixtures.assertComplete(simulation, List.of(large));
      assertEquals(simulation.starts(), 200 + 2L * small.size());
    }
  }
}
