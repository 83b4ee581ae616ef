package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.RESTART_MILLIS;
import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.restartingFleet;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;

import java.util.List;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.Test;

/** Tests of runs that turn out to be done while a later run of their task is placed. */
public class EarlierCompletionTest {

  private static final WorkerId FIRST = new WorkerId("w0");

  /**
   * Duration of a run that is not done before the earlier run's completion is listed, in
   * milliseconds.
   */
  private static final long LONG_MILLIS = 30_000;

  /** Time until the leases of an unreachable worker have ended, in milliseconds. */
  private static final long LEASES_ENDED_MILLIS = 11_000;

  private static JobSimulation fleet(int workers) {
    JobSimulation simulation = restartingFleet(workers);
    simulation.listsCrashedWorkers = true;
    simulation.run(1_000);
    return simulation;
  }

  private static JobSpec submit(JobSimulation simulation) {
    JobSpec job = job("earlier", step(1, 2, List.of()));
    simulation.submit(job);
    simulation.run(100);
    return job;
  }

  /** The later run was placed on an earlier incarnation of the worker that lists the completion. */
  public static class SameWorker {

    private static final long DELAY_MILLIS = 8_000;

    /**
     * Time between a worker's restart and the arrival of a late start, in milliseconds: too short
     * for its leader to poll it.
     */
    private static final long BACK_BEFORE_MILLIS = 20;

    /**
     * Lets the second run begin on the next incarnation, which crashes just before the duplicate of
     * the first start arrives.
     */
    private static JobSpec crashTwice(JobSimulation simulation) {
      final long arrives = simulation.now + DELAY_MILLIS;
      simulation.delay = effect -> effect instanceof JobEffect.StartRun ? DELAY_MILLIS : 0;
      final JobSpec job = submit(simulation);
      simulation.delay = effect -> 0;
      simulation.workMillis = LONG_MILLIS;
      simulation.crash(simulation.workers.get(FIRST));
      simulation.run(arrives - BACK_BEFORE_MILLIS - RESTART_MILLIS - simulation.now);
      assertEquals(simulation.workers.get(FIRST).count(), 1);
      simulation.workMillis = 100;
      simulation.crash(simulation.workers.get(FIRST));
      return job;
    }

    /** Lets the duplicate be done before the worker is polled. */
    private static void runDuplicate(JobSimulation simulation) {
      simulation.run(RESTART_MILLIS + 300);
      assertEquals(simulation.workers.get(FIRST).count(), 0);
      simulation.workMillis = 500;
    }

    /**
     * Guards against a task that its leader starts again after the completion of an earlier run was
     * listed.
     */
    @Test
    public void restartsNoTaskThatDuplicateHasDone() {
      JobSimulation simulation = fleet(1);
      final JobSpec job = crashTwice(simulation);
      simulation.delay = effect -> effect instanceof JobEffect.LookAtWorker ? DELAY_MILLIS : 0;
      runDuplicate(simulation);
      simulation.delay = effect -> 0;
      simulation.run(30_000);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(simulation.starts(), 2);
    }

    /** Guards against a next leader that starts a task again after an earlier run was done. */
    @Test
    public void restartsNoDoneTaskAfterTakeover() {
      JobSimulation simulation = fleet(1);
      final JobSpec job = crashTwice(simulation);
      simulation.killLeader();
      runDuplicate(simulation);
      simulation.takeOver();
      simulation.run(30_000);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(simulation.starts(), 2);
    }
  }

  /** The later run is on another worker. */
  public static class OtherWorker {

    private static SimulatedWorker only(JobSimulation simulation) {
      return simulation.workers.values().stream()
          .filter(w -> w.count() > 0)
          .findFirst()
          .orElseThrow();
    }

    /** Lets a task be done by a worker that is cut off, and placed on the other one. */
    private static SimulatedWorker doneWhileUnreachable(JobSimulation simulation) {
      simulation.run(100);
      SimulatedWorker first = only(simulation);
      first.reachable = false;
      simulation.workMillis = LONG_MILLIS;
      simulation.run(LEASES_ENDED_MILLIS);
      assertEquals(first.count(), 0);
      return first;
    }

    /** Guards against a completion that becomes final while the task runs elsewhere. */
    @Test
    public void acknowledgesNoCompletionDuringLaterRun() {
      JobSimulation simulation = fleet(2);
      final JobSpec job = submit(simulation);
      final SimulatedWorker first = doneWhileUnreachable(simulation);
      assertEquals(simulation.starts(), 2);
      simulation.lost = JobEffect.StopRun.class::isInstance;
      first.reachable = true;
      simulation.run(3_000);
      assertEquals(first.lastAcknowledgedCompletion(), 0);
      simulation.lost = effect -> false;
      simulation.run(2_000);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(simulation.starts(), 2);
      simulation.run(LateStart.LATEST_MILLIS);
      assertEquals(first.lastAcknowledgedCompletion(), 1);
    }

    /** Guards against a failure of the later run that counts although the task is done. */
    @Test
    public void ignoresFailureOfDoneTask() {
      JobSimulation simulation = fleet(2);
      JobQueue once = new JobQueue("queue", "host", "/jobs/", "pool", 0, 1, 1.5, 250, false);
      simulation.table(new JobTable(2, List.of(once), List.of()));
      final JobSpec job = submit(simulation);
      final SimulatedWorker first = doneWhileUnreachable(simulation);
      simulation.lost = JobEffect.StopRun.class::isInstance;
      first.reachable = true;
      simulation.run(1_000);
      simulation.fails = true;
      simulation.run(LONG_MILLIS);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(simulation.starts(), 2);
    }

    /** Guards against a later run that begins although the task turned out to be done before. */
    @Test
    public void startsNoRunWhosePlacementIsNotStored() {
      JobSimulation simulation = fleet(2);
      final JobSpec job = submit(simulation);
      simulation.run(100);
      final SimulatedWorker first = only(simulation);
      first.reachable = false;
      simulation.run(7_000);
      simulation.storeUnavailable = true;
      while (simulation.effects.stream().filter(EarlierCompletionTest::places).count() < 2) {
        simulation.run(10);
      }
      first.reachable = true;
      simulation.run(500);
      // The leader's lease is renewed before the placement is stored.
      simulation.storeUnavailable = false;
      simulation.run(200);
      simulation.restoreStore();
      simulation.run(5_000);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(simulation.starts(), 1);
    }
  }

  private static boolean places(JobEffect effect) {
    return effect instanceof JobEffect.Note note && note.name().equals("job.placed");
  }
}
