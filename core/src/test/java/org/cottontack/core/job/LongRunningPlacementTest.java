package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.Consumer;
import org.testng.annotations.Test;

/** Tests of when stopped and lost runs of long-running tasks are placed again. */
public class LongRunningPlacementTest {

  /** Time in which runs leave a worker that drains, or start again where there is room. */
  private static final long MOVE_MILLIS = 1_500;

  private static final long LONG_MILLIS = 300_000;

  private static JobSpec service(String id, int count, long cores) {
    return job(id, step(count, cores, List.of(), 0, "web", 18, StepSpec.Trait.LASTS));
  }

  private static TaskName task(String job, int index) {
    return TaskName.parse(job + ".0.0." + index);
  }

  private static boolean runs(JobSimulation simulation, String job, int index) {
    return simulation.workers.values().stream().anyMatch(w -> w.runs(task(job, index)));
  }

  private static SimulatedWorker workerOf(JobSimulation simulation, TaskName task) {
    return simulation.workers.values().stream()
        .filter(worker -> worker.runs(task))
        .findFirst()
        .orElseThrow();
  }

  /** Lets the next leader find a job's tasks in the store in the given state. */
  private static void recover(JobSimulation simulation, JobSpec spec, Consumer<Job> state) {
    Job job = new Job(spec, 0);
    job.advance(0);
    job.phase = JobPhase.RUNNING;
    state.accept(job);
    simulation.specs.put(spec.id(), spec);
    simulation.post(new JobEvent.JobRecovered(spec, StoredProgress.of(ProgressText.write(job))));
  }

  /**
   * Returns a fleet of 64 cores on which services hold 48, and of whose service "new" one task of
   * three was admitted beside a peak of 12 cores of short tasks.
   */
  private static JobSimulation fleetWithReserve() {
    JobSimulation simulation =
        simulation(
            new SimulatedWorker("w0", 16),
            new SimulatedWorker("w1", 16),
            new SimulatedWorker("w2", 16),
            new SimulatedWorker("w3", 16));
    simulation.workMillis = LONG_MILLIS;
    simulation.submit(service("old", 12, 4));
    simulation.run(500);
    simulation.workMillis = 500;
    simulation.submit(job("short", step(3, 4, List.of())));
    simulation.run(1_500);
    simulation.workMillis = LONG_MILLIS;
    simulation.submit(service("new", 3, 4));
    simulation.run(500);
    assertTrue(runs(simulation, "new", 0));
    assertFalse(runs(simulation, "new", 1));
    return simulation;
  }

  /** Waiting tasks that are passed over for a reason that does not apply to them. */
  public static class Passes {

    /** Guards against tasks that never ran and keep a stopped run of their step from restarting. */
    @Test
    public void reserveForShortTasksDelaysNoTaskThatHasRun() {
      JobSimulation simulation = fleetWithReserve();
      recover(
          simulation, service("s", 3, 4), job -> job.tasks().skip(2).forEach(task -> task.run = 1));
      simulation.run(MOVE_MILLIS);
      assertFalse(runs(simulation, "s", 0) || runs(simulation, "s", 1));
      assertTrue(runs(simulation, "s", 2));
    }

    /**
     * Guards against a suspect, which waits for a worker without another one, and keeps others from
     * restarting.
     */
    @Test
    public void suspectDelaysNoOtherTask() {
      JobSimulation simulation = simulation(new SimulatedWorker("w0", 16));
      simulation.workMillis = LONG_MILLIS;
      recover(
          simulation, job("trial", step(1, 2, List.of())), job -> job.tasks().forEach(this::crash));
      simulation.run(300);
      assertTrue(runs(simulation, "trial", 0));
      recover(
          simulation,
          service("s", 2, 2),
          job -> {
            job.tasks().forEach(task -> task.run = 1);
            job.tasks().limit(1).forEach(this::crash);
          });
      recover(simulation, service("t", 1, 2), job -> job.tasks().forEach(task -> task.run = 1));
      simulation.run(MOVE_MILLIS);
      assertFalse(runs(simulation, "s", 0));
      assertTrue(runs(simulation, "s", 1), "another task of its step");
      assertTrue(runs(simulation, "t", 0), "an equal task of another job");
    }

    private void crash(Task task) {
      task.run = 2;
      task.crashes = CrashBlame.SUSPECT_CRASHES;
    }

    /**
     * Guards against a job whose step has as many tasks on each worker as it may have, and keeps
     * jobs with an equal step from starting.
     */
    @Test
    public void spreadLimitOfOneJobDelaysNoOtherJob() {
      JobSimulation simulation =
          simulation(new SimulatedWorker("w0", 16), new SimulatedWorker("w1", 16));
      simulation.workMillis = LONG_MILLIS;
      StepSpec spread = step(3, 2, List.of(), 1, "", 0, StepSpec.Trait.LASTS);
      simulation.submit(job("a", spread));
      simulation.run(300);
      simulation.submit(job("b", spread));
      simulation.run(MOVE_MILLIS);
      assertTrue(runs(simulation, "b", 0) && runs(simulation, "b", 1));
    }

    /** Guards against a task that never ran and takes the place of a run that was stopped. */
    @Test
    public void stoppedRunIsPlacedBeforeTasksThatNeverRan() {
      SimulatedWorker first = new SimulatedWorker("w0", 4);
      SimulatedWorker second = new SimulatedWorker("w1", 4);
      JobSimulation simulation = simulation(first, second);
      simulation.workMillis = LONG_MILLIS;
      simulation.submit(service("b", 1, 4));
      simulation.run(300);
      simulation.submit(service("a", 2, 4));
      simulation.run(300);
      assertTrue(runs(simulation, "a", 0));
      workerOf(simulation, task("b", 0)).stopAll();
      simulation.run(MOVE_MILLIS);
      assertTrue(runs(simulation, "b", 0));
    }
  }
}
