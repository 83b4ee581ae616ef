package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Map;
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

  /** What the next leader reads. */
  public static class Stored {

    /** Rows of progress, and whether they show that a task has started. */
    @DataProvider
    public Object[][] rows() {
      return new Object[][] {
        {"q", false},
        {"r\n0 0 0 p 1 0 w ", false},
        {"r\n0 0 0 w 3 0 - ", false},
        {"rb\n0 0 0 p 1 0 w ", true},
        {"r\n0 0 0 w 1 1 - ", true},
        {"r\n0 0 0 p 2 0 w checkpoint", true},
        {"r\n0 0 0 d 1 0 - ", true},
        {"c", true},
        {"f", true},
        {"x", true},
      };
    }

    /** Guards against a placement that counts as a start once the leader changes. */
    @Test(dataProvider = "rows")
    public void showsWhetherTasksHaveStarted(String main, boolean begun) {
      assertEquals(StoredProgress.of(main).begun(), begun);
    }

    /** Guards against done tasks of a large job that count as waiting. */
    @Test
    public void showsDoneTasksInFurtherRows() {
      String main = "r\nparts 1";
      assertTrue(new StoredProgress(main, Map.of(1, "from 0\nd 0 3")).begun());
      assertFalse(new StoredProgress(main, Map.of(1, "from 0\n0 0 0 p 1 0 w ")).begun());
    }

    /** Guards against a start that only the leader of the time knows of. */
    @Test
    public void keepsTheMark() {
      Job job = new Job(JOB, 0);
      job.advance(0);
      job.phase = JobPhase.RUNNING;
      job.begun = true;
      Job next = new Job(JOB, 0);
      next.advance(0);
      ProgressText.restore(next, StoredProgress.of(ProgressText.write(job)));
      assertTrue(next.begun);
    }
  }
}
