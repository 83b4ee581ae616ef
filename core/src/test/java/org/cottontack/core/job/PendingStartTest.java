package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.RESTART_MILLIS;
import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.restartingFleet;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.Test;

/** Tests of starts whose run is over before they are answered. */
public class PendingStartTest {

  /**
   * Time between a worker's restart and the arrival of a late start, in milliseconds: too short for
   * its leader to poll it.
   */
  private static final long BACK_BEFORE_MILLIS = 20;

  private static JobSimulation fleet(int workers) {
    JobSimulation simulation = restartingFleet(workers);
    simulation.listsCrashedWorkers = true;
    simulation.run(1_000);
    return simulation;
  }

  /**
   * Delays the first start and all later ones as given.
   *
   * @return the number of starts that were sent
   */
  private static AtomicInteger delayStarts(JobSimulation simulation, long first, long second) {
    AtomicInteger sent = new AtomicInteger();
    simulation.delay =
        effect ->
            effect instanceof JobEffect.StartRun ? sent.incrementAndGet() == 1 ? first : second : 0;
    return sent;
  }

  private static void runUntilSent(JobSimulation simulation, AtomicInteger sent, int starts) {
    while (sent.get() < starts) {
      simulation.run(10);
    }
  }

  private static void restartJustBefore(
      JobSimulation simulation, WorkerId worker, long arrivesMillis) {
    simulation.run(arrivesMillis - BACK_BEFORE_MILLIS - RESTART_MILLIS - simulation.now);
    simulation.crash(simulation.workers.get(worker));
  }

  /** Tests in the simulation. */
  public static class Simulated {

    /**
     * Guards against a start that is forgotten because its run was stopped before the start was
     * answered.
     */
    @Test
    public void rerunsNoDoneTaskWhenStoppedStartArrivesLate() {
      JobSimulation simulation = fleet(2);
      final AtomicInteger sent = delayStarts(simulation, 0, 8_000);
      final JobSpec job = job("stopped", step(1, 2, List.of()));
      simulation.submit(job);
      runUntilSent(simulation, sent, 1);
      simulation.run(100);
      final SimulatedWorker first =
          simulation.workers.values().stream().filter(w -> w.count() > 0).findFirst().orElseThrow();
      final WorkerId second =
          simulation.workers.keySet().stream()
              .filter(id -> !id.equals(first.info.id()))
              .findFirst()
              .orElseThrow();
      first.reachable = false;
      runUntilSent(simulation, sent, 2);
      final long arrives = simulation.now + 8_000;
      first.reachable = true;
      simulation.run(500);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
      simulation.workMillis = 100;
      restartJustBefore(simulation, second, arrives);
      simulation.run(30_000);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(first.lastAcknowledgedCompletion(), 1);
    }

    /** Guards against a repeated start that is forgotten because the first one began its run. */
    @Test
    public void rerunsNoDoneTaskWhenResentStartArrivesLate() {
      JobSimulation simulation = fleet(1);
      simulation.workMillis = 100;
      final AtomicInteger sent = delayStarts(simulation, 1_500, 11_900);
      final JobSpec job = job("again", step(1, 2, List.of()));
      simulation.submit(job);
      runUntilSent(simulation, sent, 2);
      final long arrives = simulation.now + 11_900;
      simulation.run(1_000);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
      restartJustBefore(simulation, new WorkerId("w0"), arrives);
      simulation.run(30_000);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
    }
  }

  /** State of a task. */
  public static class TaskState {

    private static final WorkerIncarnation INCARNATION =
        new WorkerIncarnation(new WorkerId("w0"), 7);
    private static final WorkerIncarnation NEXT_INCARNATION =
        new WorkerIncarnation(new WorkerId("w0"), 70);
    private static final WorkerIncarnation OTHER_WORKER =
        new WorkerIncarnation(new WorkerId("w1"), 9);

    private static Task sentTo(WorkerIncarnation incarnation) {
      Job job = new Job(job("known", step(1, 2, List.of())), 0);
      job.advance(0);
      Task task = job.tasks().findFirst().orElseThrow();
      task.place(incarnation, 0);
      task.sent(10);
      return task;
    }

    /** Guards against a start that is forgotten when its run is released. */
    @Test
    public void remembersStartOfRunThatIsOver() {
      Task task = sentTo(INCARNATION);
      task.release();
      assertTrue(task.pinned(LateStart.LATEST_MILLIS + 9));
      assertFalse(task.pinned(LateStart.LATEST_MILLIS + 10));
      assertFalse(task.mayStartOn(OTHER_WORKER, 1_000));
      assertTrue(task.mayStartOn(NEXT_INCARNATION, 1_000));
      task.startEnded(INCARNATION, 1, false);
      assertTrue(task.pinned(1_000));
    }

    /** Guards against a task that waits for a start which was answered after its run was over. */
    @Test
    public void forgetsStartThatWasAnswered() {
      Task task = sentTo(INCARNATION);
      task.release();
      task.startEnded(INCARNATION, 1, true);
      assertFalse(task.pinned(1_000));
    }

    /** Guards against the answer to one start being used for another. */
    @Test
    public void matchesAnswersToTheirStart() {
      Task task = sentTo(INCARNATION);
      task.release();
      task.startEnded(NEXT_INCARNATION, 1, true);
      task.startEnded(INCARNATION, 2, true);
      assertTrue(task.pinned(1_000));
    }

    /** Guards against a start that is forgotten when the start of the next run is sent. */
    @Test
    public void remembersStartOfRunBefore() {
      Task task = sentTo(INCARNATION);
      task.release();
      task.place(NEXT_INCARNATION, 5_000);
      task.sent(5_000);
      task.startEnded(NEXT_INCARNATION, 2, true);
      assertTrue(task.pinned(LateStart.LATEST_MILLIS + 9));
    }

    /** Guards against an expired start that pins its task to another worker. */
    @Test
    public void forgetsExpiredStartWhereNextOneLeaves() {
      WorkerIncarnation late = new WorkerIncarnation(new WorkerId("w0"), 700);
      Task task = sentTo(late);
      task.startEnded(late, 1, false);
      task.release();
      task.place(OTHER_WORKER, 20_000);
      task.sent(20_000);
      task.release();
      assertTrue(task.pinnedTo(OTHER_WORKER.worker()));
    }

    /** Guards against waiting for incarnations of workers that never return. */
    @Test
    public void ignoresStartsToWorkersThatDoNotReturn() {
      Task task = sentTo(WorkerIncarnation.withUniqueIdentifier(new WorkerId("w0")));
      task.release();
      assertFalse(task.pinned(1_000));
    }
  }
}
