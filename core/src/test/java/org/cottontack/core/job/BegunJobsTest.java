package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the evidence that a task of a job has started. */
public class BegunJobsTest {

  private static final JobSpec JOB = job("job", TestStep.tasks(1).of());

  private static boolean begun(JobSimulation simulation) {
    return simulation.effects.contains(new JobEffect.Begun(JOB.id()));
  }

  private static JobEffect.StartRun start(JobSimulation simulation) {
    return simulation.effects.stream()
        .filter(JobEffect.StartRun.class::isInstance)
        .map(JobEffect.StartRun.class::cast)
        .findFirst()
        .orElseThrow();
  }

  /** Answers of a worker. */
  public static class Answers {

    /** All answers to a start but the one that says that it was carried out. */
    @DataProvider
    public Object[][] refusals() {
      return Stream.of(StartResult.values())
          .filter(result -> result != StartResult.STARTED && result != StartResult.FENCED)
          .map(result -> new Object[] {result})
          .toArray(Object[][]::new);
    }

    /** Returns a simulation in which a start is on its way for 3 s. */
    private static JobSimulation startSent() {
      JobSimulation simulation = JobFixtures.restartingFleet(1);
      simulation.run(1_000);
      simulation.delay = effect -> effect instanceof JobEffect.StartRun ? 3_000 : 0;
      simulation.submit(JOB);
      simulation.run(100);
      return simulation;
    }

    /** Guards against a job that counts as begun although its start was refused. */
    @Test(dataProvider = "refusals")
    public void showNoStartWhereItIsRefused(StartResult refusal) {
      JobSimulation simulation = startSent();
      JobEffect.StartRun start = start(simulation);
      simulation.post(new JobEvent.StartEnded(start.target().incarnation(), start.run(), refusal));
      simulation.run(500);
      assertFalse(begun(simulation));
    }

    /** Guards against a job that counts as begun because a stop of its run was answered. */
    @Test
    public void showNoStartWhereOnlyStopsAreAnswered() {
      JobSimulation simulation = startSent();
      JobEffect.StartRun start = start(simulation);
      for (boolean answered : new boolean[] {false, true}) {
        simulation.post(
            new JobEvent.StopEnded(start.target().incarnation(), start.run(), answered));
        simulation.run(200);
        assertFalse(begun(simulation));
      }
    }

    /** Guards against a job that goes on counting as waiting while its run is listed. */
    @Test
    public void showStartWhereTheRunIsListed() {
      JobSimulation simulation = startSent();
      simulation.workMillis = 60_000;
      simulation.run(5_000);
      assertTrue(begun(simulation));
    }

    /** Guards against a job that goes on counting as waiting although its only run has failed. */
    @Test
    public void showStartWhereFailuresAreListed() {
      JobSimulation simulation = startSent();
      simulation.workMillis = 1;
      simulation.fails = true;
      simulation.run(3_500);
      assertTrue(begun(simulation));
    }
  }
}
