package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.stream.IntStream;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.Test;

/** Tests of what a leader does beside jobs that it leaves alone, as it cannot read their rows. */
public class LeftAloneJobsTest {

  private static final long TAKEOVER_MILLIS = 2_500;
  private static final WorkerId ONLY = new WorkerId("w0");

  private static void takeOver(JobSimulation simulation) {
    simulation.killLeader();
    simulation.run(TAKEOVER_MILLIS);
    simulation.takeOver();
    simulation.run(2_000);
  }

  /** Lets a leader take over that cannot read the job whose only task a lone worker runs. */
  private static JobSimulation leaveAlone(JobSpec job, long cores, long workMillis) {
    JobSimulation simulation = FinalCompletionsTest.fleet(1, cores);
    simulation.workMillis = workMillis;
    simulation.submit(job);
    simulation.run(100);
    assertEquals(simulation.starts(), 1);
    simulation.unreadable.add(job.id());
    takeOver(simulation);
    simulation.workMillis = 100;
    return simulation;
  }

  private static void readAgain(JobSimulation simulation) {
    simulation.unreadable.clear();
    takeOver(simulation);
  }

  private static List<JobSpec> submit(JobSimulation simulation, int count, int tasks) {
    List<JobSpec> jobs =
        IntStream.range(0, count)
            .mapToObj(i -> job("other" + i, step(tasks, 1, List.of())))
            .toList();
    jobs.forEach(simulation::submit);
    return jobs;
  }

  /** Runs of jobs that are left alone. */
  public static class Runs {

    /** Guards against work in capacity that a run of unknown size may use. */
    @Test
    public void getNoNewWorkBesideThem() {
      final JobSpec alone = job("alone", step(1, 2, List.of()));
      final JobSimulation simulation = leaveAlone(alone, 8, 9_000);
      final List<JobSpec> others = submit(simulation, 1, 1);
      simulation.run(1_000);
      assertEquals(simulation.starts(), 1);
      simulation.run(6_000);
      JobFixtures.assertComplete(simulation, others);
      readAgain(simulation);
      JobFixtures.assertComplete(simulation, List.of(alone));
      assertEquals(simulation.starts(), 2);
    }

    /** Guards against a job that goes on running after its cancellation. */
    @Test
    public void stopOnceTheirJobIsCancelled() {
      final JobSpec alone = job("alone", step(1, 2, List.of()));
      final JobSimulation simulation = leaveAlone(alone, 8, 60_000);
      assertEquals(simulation.workers.get(ONLY).count(), 1);
      simulation.post(new JobEvent.JobCancelled(alone.id()));
      simulation.run(2_000);
      assertEquals(simulation.workers.get(ONLY).count(), 0);
    }
  }

  /** Jobs whose rows become readable while they are left alone. */
  public static class ReadableInMidTerm {

    /** Guards against a job whose tasks are placed anew while their runs go on. */
    @Test
    public void areNotPlacedAnew() {
      final JobSpec alone = job("alone", step(1, 2, List.of()));
      final JobSimulation simulation = leaveAlone(alone, 8, 9_000);
      simulation.post(new JobEvent.JobArrived(alone));
      simulation.run(10_000);
      assertEquals(simulation.starts(), 1);
      readAgain(simulation);
      JobFixtures.assertComplete(simulation, List.of(alone));
      assertEquals(simulation.starts(), 1);
    }
  }

  /** Completions of other jobs on the same worker, which wait for those of jobs left alone. */
  public static class LaterCompletions {

    /**
     * Guards against tasks that run again because their stored completions are listed to the next
     * leader as well.
     */
    @Test
    public void repeatNothingWhenListedAgain() {
      final JobSpec alone = job("alone", step(1, 2, List.of()));
      final JobSimulation simulation = leaveAlone(alone, 8, 500);
      final List<JobSpec> others = submit(simulation, 10, 4);
      simulation.run(10_000);
      JobFixtures.assertComplete(simulation, others);
      assertEquals(simulation.workers.get(ONLY).lastAcknowledgedCompletion(), 0);
      readAgain(simulation);
      simulation.run(20_000);
      JobFixtures.assertComplete(simulation, List.of(alone));
      assertEquals(simulation.workers.get(ONLY).lastAcknowledgedCompletion(), 41);
      assertEquals(simulation.starts(), 41);
    }

    /**
     * Guards against a worker that gets no acknowledgement and no new work for the rest of the term
     * although the only job that was left alone is cancelled.
     */
    @Test
    public void areAcknowledgedOnceTheJobIsCancelled() {
      final JobSpec alone = job("alone", step(1, 2, List.of()));
      final JobSimulation simulation = leaveAlone(alone, 32, 500);
      final List<JobSpec> others = submit(simulation, 40, 16);
      simulation.run(60_000);
      assertEquals(simulation.workers.get(ONLY).lastAcknowledgedCompletion(), 0);
      assertEquals(simulation.starts(), WorkerReport.MAX_COMPLETIONS);
      simulation.post(new JobEvent.JobCancelled(alone.id()));
      simulation.run(60_000);
      JobFixtures.assertComplete(simulation, others);
      assertEquals(simulation.starts(), 1 + 40 * 16);
      assertEquals(simulation.workers.get(ONLY).lastAcknowledgedCompletion(), 1 + 40 * 16);
    }

    /**
     * Guards against runs whose completions do not fit into a report behind those that wait, so
     * that their jobs do not end in this term although all their tasks are done.
     */
    @Test
    public void areListedBeforeTheReportIsFull() {
      final JobSpec alone = job("alone", step(1, 2, List.of()));
      final JobSimulation simulation = leaveAlone(alone, 32, 500);
      simulation.workers.get(ONLY).maxListed = WorkerReport.MAX_COMPLETIONS;
      final List<JobSpec> others = submit(simulation, 40, 16);
      simulation.run(60_000);
      assertEquals(simulation.starts(), WorkerReport.MAX_COMPLETIONS);
      readAgain(simulation);
      simulation.run(60_000);
      JobFixtures.assertComplete(simulation, others);
      JobFixtures.assertComplete(simulation, List.of(alone));
      assertEquals(simulation.starts(), 1 + 40 * 16);
    }
  }
}
