package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.Consumer;
import org.testng.annotations.Test;

/** Tests of when stopped and lost runs of long-running tasks are placed again. */
public class LongRunningPlacementTest {

  /** Time in which runs leave a worker that drains, or start again where there is room. */
  private static final long MOVE_MILLIS = 1_500;

  /** Time from a worker's announcement until it leaves, in milliseconds. */
  private static final long DRAIN_MILLIS = 4_000;

  /** Time from a worker's end until the next leader, which the present one does not notice. */
  private static final long CHANGE_MILLIS = 700;

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

  private static SimulatedWorker join(JobSimulation simulation, String id, long cores) {
    SimulatedWorker worker = new SimulatedWorker(id, cores);
    simulation.workers.put(worker.info.id(), worker);
    simulation.post(new JobEvent.WorkerSeen(worker.info));
    return worker;
  }

  /** Ends a worker that has drained. It takes a new identifier. */
  private static void leave(JobSimulation simulation, SimulatedWorker worker) {
    worker.stopAll();
    worker.dead = true;
    simulation.post(new JobEvent.WorkerUnlisted(worker.info.incarnation()));
  }

  /** Lets a worker list a run in one answer. */
  private static void list(JobSimulation simulation, SimulatedWorker worker, RunKey run) {
    WorkerReport report = worker.report(simulation.now);
    List<WorkerReport.Running> running =
        List.of(new WorkerReport.Running(run.task(), run.run(), "", 0, 0));
    simulation.post(
        new JobEvent.WorkerReported(
            worker.info.incarnation(),
            simulation.now,
            new WorkerReport(
                report.startTimeMillis(), report.clockMillis(), running, report.completions())));
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

  /** Returns how long a task does not run from now on, in milliseconds. */
  private static long absentMillis(JobSimulation simulation, String job, int index, long limit) {
    long since = simulation.now;
    while (!runs(simulation, job, index) && simulation.now - since < limit) {
      simulation.run(10);
    }
    return simulation.now - since;
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

  /** Runs on workers that drain. */
  public static class Moves {

    /**
     * Guards against tasks that never ran and wait behind the reserve for short tasks: they kept
     * every long-running run on workers that drain, until these left.
     */
    @Test
    public void tasksBehindTheReserveKeepNoRunsOnDrainingWorker() {
      JobSimulation simulation = fleetWithReserve();
      SimulatedWorker leaving = workerOf(simulation, task("old", 0));
      simulation.post(JobSimulation.draining(leaving));
      simulation.run(MOVE_MILLIS);
      // Four runs, and room for three elsewhere.
      assertEquals(leaving.count(), 1);
    }

    /**
     * Guards against a task that never ran, has no room, and keeps the runs of other jobs on
     * workers that drain. Such a run ends with its worker, and if the leader changes, the next one
     * waits out the leases of a worker that it never reached.
     */
    @Test
    public void taskWithoutRoomKeepsNoRunOnDrainingWorker() {
      JobSimulation simulation =
          simulation(
              new SimulatedWorker("w0", 16),
              new SimulatedWorker("w1", 8),
              new SimulatedWorker("w2", 8));
      simulation.workMillis = LONG_MILLIS;
      simulation.submit(service("wide", 2, 16));
      simulation.run(300);
      simulation.submit(service("s", 1, 4));
      simulation.run(300);
      SimulatedWorker leaving = workerOf(simulation, task("s", 0));
      simulation.post(JobSimulation.draining(leaving));
      simulation.run(DRAIN_MILLIS);
      leave(simulation, leaving);
      final long since = simulation.now;
      simulation.run(CHANGE_MILLIS);
      simulation.killLeader();
      simulation.takeOver();
      simulation.table(JobFixtures.TABLE);
      absentMillis(simulation, "s", 0, 20_000);
      assertEquals(simulation.now - since, CHANGE_MILLIS, "ms until it runs");
    }

    /** Guards against a stopped task too large for any worker that keeps smaller ones in place. */
    @Test
    public void largerStoppedTaskKeepsNoRunOnDrainingWorker() {
      SimulatedWorker large = new SimulatedWorker("w0", 16);
      SimulatedWorker leaving = new SimulatedWorker("w1", 4);
      JobSimulation simulation = simulation(large, leaving);
      simulation.workMillis = LONG_MILLIS;
      simulation.submit(service("large", 1, 16));
      simulation.run(300);
      simulation.submit(service("small", 1, 4));
      simulation.run(300);
      simulation.restartMillis = LONG_MILLIS;
      simulation.crash(large);
      simulation.run(12_000);
      join(simulation, "w2", 4);
      simulation.run(100);
      simulation.post(JobSimulation.draining(leaving));
      simulation.run(MOVE_MILLIS);
      assertFalse(leaving.runs(task("small", 0)));
      assertTrue(runs(simulation, "small", 0));
    }

    /**
     * Guards against a move of a task that has another run which is not in force. It could not be
     * placed until that one is known to have ended.
     */
    @Test
    public void taskWithOrphanStaysOnDrainingWorker() {
      SimulatedWorker first = new SimulatedWorker("w0", 8);
      SimulatedWorker second = new SimulatedWorker("w1", 8);
      JobSimulation simulation = simulation(first, second);
      simulation.workMillis = LONG_MILLIS;
      simulation.submit(service("s", 1, 4));
      simulation.run(300);
      SimulatedWorker leaving = workerOf(simulation, task("s", 0));
      leaving.stopAll();
      simulation.run(300);
      leaving = workerOf(simulation, task("s", 0));
      SimulatedWorker other = leaving == first ? second : first;
      list(simulation, other, new RunKey(task("s", 0), 1));
      other.reachable = false;
      join(simulation, "w2", 8);
      simulation.post(JobSimulation.draining(leaving));
      simulation.run(MOVE_MILLIS);
      assertTrue(leaving.runs(task("s", 0)));
      simulation.run(LeaderLease.GRANT_MILLIS + MOVE_MILLIS);
      assertFalse(leaving.runs(task("s", 0)));
      assertTrue(runs(simulation, "s", 0));
    }

    /** Guards against two draining workers that stop a run each for the only free place. */
    @Test
    public void twoDrainingWorkersStopNoMoreRunsThanThereAreFreePlaces() {
      SimulatedWorker first = new SimulatedWorker("w0", 4);
      SimulatedWorker second = new SimulatedWorker("w1", 4);
      JobSimulation simulation = simulation(first, second);
      simulation.workMillis = LONG_MILLIS;
      simulation.submit(service("s", 2, 4));
      simulation.run(300);
      simulation.post(JobSimulation.draining(first));
      simulation.post(JobSimulation.draining(second));
      join(simulation, "w2", 4);
      simulation.run(MOVE_MILLIS);
      assertTrue(runs(simulation, "s", 0) && runs(simulation, "s", 1), "one of them is stopped");
    }
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
