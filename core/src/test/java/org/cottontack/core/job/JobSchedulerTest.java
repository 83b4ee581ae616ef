package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests of a leader's decisions about jobs and their runs, in virtual time. */
public class JobSchedulerTest {

  private static final long LEASE_MILLIS = LeaderLease.GRANT_MILLIS;

  /** Steps, attempts and completions without faults. */
  public static class NormalOperation {

    @Test
    public void runsStepsInOrderAndCompletes() {
      JobSimulation simulation =
          simulation(new SimulatedWorker("w1", 8), new SimulatedWorker("w2", 8));
      JobSpec job = job("a", step(4, 2, List.of()), step(2, 2, List.of(0)));
      simulation.submit(job);
      simulation.run(300);
      assertEquals(simulation.starts(), 4);
      simulation.run(900);
      assertEquals(simulation.starts(), 6);
      simulation.run(300);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
    }

    @Test
    public void failsAfterTheLastAttempt() {
      JobSimulation simulation = simulation(new SimulatedWorker("w1", 8));
      simulation.fails = true;
      JobSpec job = job("a", step(1, 2, List.of()));
      simulation.submit(job);
      simulation.run(3_000);
      assertEquals(simulation.phase(job.id()), JobPhase.FAILED);
      assertEquals(simulation.starts(), 2);
    }

    @Test
    public void restartsLongRunningTasksHoweverTheyEnd() {
      JobSimulation simulation = simulation(new SimulatedWorker("w1", 8));
      simulation.fails = true;
      JobSpec job = job("a", step(1, 2, List.of(), StepSpec.Trait.LASTS));
      simulation.submit(job);
      simulation.run(3_000);
      assertEquals(simulation.phase(job.id()), JobPhase.RUNNING);
      assertTrue(simulation.starts() > 3, "starts: " + simulation.starts());
    }

    @Test
    public void keepsToTheSpreadLimit() {
      SimulatedWorker first = new SimulatedWorker("w1", 32);
      SimulatedWorker second = new SimulatedWorker("w2", 32);
      JobSimulation simulation = simulation(first, second);
      simulation.submit(job("a", step(6, 1, List.of(), 2, "", 0)));
      simulation.run(300);
      assertEquals(first.count(), 2);
      assertEquals(second.count(), 2);
    }

    @Test
    public void waitsForCapacityRatherThanOvercommit() {
      JobSimulation simulation = simulation(new SimulatedWorker("w1", 4));
      JobSpec job = job("a", step(6, 2, List.of()));
      simulation.submit(job);
      simulation.run(300);
      assertEquals(simulation.starts(), 2);
      simulation.run(3_000);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
    }
  }

  /** Order of saves and messages. */
  public static class Durability {

    /**
     * Guards against a placement that is sent while the store is unavailable. The next leader would
     * not know of it and would start the task elsewhere while it runs.
     */
    @Test
    public void startsNothingThatIsNotStored() {
      JobSimulation simulation = simulation(new SimulatedWorker("w1", 8));
      simulation.storeUnavailable = true;
      simulation.submit(job("a", step(1, 2, List.of())));
      simulation.run(2_000);
      assertEquals(simulation.starts(), 0);
      simulation.restoreStore();
      simulation.run(200);
      assertEquals(simulation.starts(), 1);
    }

    /**
     * Guards against acknowledging a completion while the store is unavailable. The worker then
     * forgets it, and the next leader would find neither run nor completion and repeat the finished
     * task.
     */
    @Test
    public void acknowledgesNoCompletionThatIsNotStored() {
      SimulatedWorker worker = new SimulatedWorker("w1", 8);
      JobSimulation simulation = simulation(worker);
      JobSpec job = job("a", step(1, 2, List.of()));
      simulation.submit(job);
      simulation.run(200);
      simulation.storeUnavailable = true;
      simulation.run(7_000);
      assertEquals(worker.lastAcknowledgedCompletion(), 0);
      simulation.takeOver();
      simulation.restoreStore();
      simulation.run(1_000);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(simulation.starts(), 1);
    }
  }

  /** Orders without an answer, and workers that disappear and return. */
  public static class UnansweredOrders {

    /**
     * Guards against a second run when a start was carried out but its answer was lost. The leader
     * resends the start, and the worker treats both as the same run.
     */
    @Test
    public void startsOnceWhenTheAnswerIsLost() {
      JobSimulation simulation =
          simulation(new SimulatedWorker("w1", 8), new SimulatedWorker("w2", 8));
      boolean[] first = {true};
      simulation.lost =
          effect -> {
            boolean lose = first[0];
            first[0] = false;
            return lose;
          };
      JobSpec job = job("a", step(1, 2, List.of()));
      simulation.workMillis = 3_000;
      simulation.submit(job);
      simulation.run(5_000);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(simulation.starts(), 1);
    }

    /**
     * Guards against a second run when a start is delayed by 3 s and arrives after its duplicate
     * has run and ended. The worker has seen that run end and refuses the late start.
     */
    @Test
    public void runsOnceWhenAnOrderArrivesLate() {
      JobSimulation simulation =
          simulation(new SimulatedWorker("w1", 8), new SimulatedWorker("w2", 8));
      boolean[] first = {true};
      simulation.late =
          effect -> {
            boolean delay = first[0];
            first[0] = false;
            return delay;
          };
      JobSpec job = job("a", step(1, 2, List.of()));
      simulation.submit(job);
      simulation.run(6_000);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(simulation.starts(), 1);
    }

    /**
     * Guards against an outdated poll answer. The poll was in flight when a run began, and its
     * answer, created before that, arrives afterwards without the run. Trusting it would start the
     * task a second time.
     */
    @Test
    public void olderReportsReleaseNoRun() {
      SimulatedWorker worker = new SimulatedWorker("w1", 8);
      JobSimulation simulation = simulation(worker);
      simulation.workMillis = 60_000;
      simulation.submit(job("a", step(1, 2, List.of())));
      simulation.run(300);
      WorkerReport older =
          new WorkerReport(
              WorkerIncarnation.UNKNOWN_START_TIME, simulation.now, List.of(), List.of());
      simulation.post(
          new JobEvent.WorkerReported(worker.info.incarnation(), simulation.now - 200, older));
      simulation.run(1_000);
      assertEquals(simulation.starts(), 1);
    }

    /**
     * Guards against a second run of a task whose worker is cut off. The task starts elsewhere only
     * after its lease is certain to have ended.
     */
    @Test
    public void waitsOutTheLeaseOfUnreachableWorkers() {
      SimulatedWorker first = new SimulatedWorker("w1", 8);
      SimulatedWorker second = new SimulatedWorker("w2", 8);
      JobSimulation simulation = simulation(first, second);
      simulation.workMillis = 60_000;
      JobSpec job = job("a", step(1, 2, List.of()));
      simulation.submit(job);
      simulation.run(300);
      SimulatedWorker workerOfTask = first.count() > 0 ? first : second;
      workerOfTask.reachable = false;
      simulation.run(LEASE_MILLIS - 1_000);
      assertEquals(simulation.starts(), 1);
      simulation.run(4_000);
      assertEquals(simulation.starts(), 2);
    }

    /**
     * Guards against restarting tasks after a leader change. The new leader finds them on their
     * workers and leaves them running, so each task runs once.
     */
    @Test
    public void takesOverWithoutStartingAgain() {
      JobSimulation simulation =
          simulation(new SimulatedWorker("w1", 8), new SimulatedWorker("w2", 8));
      simulation.workMillis = 3_000;
      JobSpec job = job("a", step(4, 2, List.of()));
      simulation.submit(job);
      simulation.run(500);
      simulation.takeOver();
      simulation.run(5_000);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(simulation.starts(), 4);
    }

    /**
     * Guards against a lost task when a leader dies between storing a placement and sending its
     * order. The next leader polls the worker, does not find the run, and starts the task again
     * under the next run number.
     */
    @Test
    public void startsWhatTheLastLeaderOnlyStored() {
      SimulatedWorker worker = new SimulatedWorker("w1", 8);
      JobSimulation simulation = simulation(worker);
      JobSpec job = job("a", step(1, 2, List.of()));
      simulation.specs.put(job.id(), job);
      simulation.stored.put(ProgressRowId.main(job.id()), "r\n0 0 0 p 1 0 w1 ");
      simulation.takeOver();
      simulation.run(2_000);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(worker.starts.keySet(), Set.of(new RunKey(TaskName.parse("a.0.0.0"), 2)));
    }

    /**
     * Guards against waiting for the lease of a worker that another incarnation has replaced at its
     * address. Its runs are gone, so their tasks start elsewhere at once.
     */
    @Test
    public void restartsAtOnceWhenAnotherIncarnationAnswers() {
      SimulatedWorker first = new SimulatedWorker("w1", 8);
      JobSimulation simulation = simulation(first);
      simulation.workMillis = 2_000;
      JobSpec job = job("a", step(1, 2, List.of()));
      simulation.submit(job);
      simulation.run(300);
      first.dead = true;
      SimulatedWorker second = new SimulatedWorker("w2", 8);
      simulation.workers.put(second.info.id(), second);
      simulation.post(new JobEvent.WorkerSeen(second.info));
      simulation.post(new JobEvent.WorkerReborn(first.info.incarnation()));
      simulation.run(500);
      assertEquals(second.count(), 1);
    }

    /**
     * Guards against waiting for the leases of a worker that crashed and restarted at its address.
     * Its tasks start as soon as the old entry leaves the list.
     */
    @Test
    public void restartsAtOnceWhenTheAddressIsTakenOver() {
      SimulatedWorker first = new SimulatedWorker("w1", 8);
      JobSimulation simulation = simulation(first);
      simulation.workMillis = 2_000;
      simulation.submit(job("a", step(1, 2, List.of())));
      simulation.run(300);
      first.dead = true;
      SimulatedWorker second = new SimulatedWorker("w2", 8, first.info.address());
      simulation.workers.put(second.info.id(), second);
      simulation.post(new JobEvent.WorkerSeen(second.info));
      simulation.run(500);
      assertEquals(second.count(), 0);
      simulation.post(new JobEvent.WorkerUnlisted(first.info.incarnation()));
      simulation.run(500);
      assertEquals(second.count(), 1);
    }
  }

  /** Cancelled jobs. */
  public static class Cancelling {

    @Test
    public void stopsWhatRunsAndStartsNothingMore() {
      SimulatedWorker worker = new SimulatedWorker("w1", 4);
      JobSimulation simulation = simulation(worker);
      simulation.workMillis = 60_000;
      JobSpec job = job("a", step(6, 2, List.of()));
      simulation.submit(job);
      simulation.run(300);
      simulation.post(new JobEvent.JobCancelled(job.id()));
      simulation.run(500);
      assertEquals(worker.count(), 0);
      simulation.run(3_000);
      assertEquals(simulation.starts(), 2);
      assertEquals(simulation.phase(job.id()), JobPhase.CANCELLED);
    }

    /**
     * Guards against losing a cancellation that reaches a new leader before the job itself. The
     * caller was informed that the job is cancelled, so none of it may start.
     */
    @Test
    public void keepsCancellationsThatArriveBeforeTheirJob() {
      JobSimulation simulation = simulation(new SimulatedWorker("w1", 4));
      JobSpec job = job("a", step(1, 2, List.of()));
      simulation.post(new JobEvent.JobCancelled(job.id()));
      simulation.submit(job);
      simulation.run(1_000);
      assertEquals(simulation.starts(), 0);
      assertEquals(simulation.phase(job.id()), JobPhase.CANCELLED);
    }

    /**
     * Guards against a run that survives because its worker was unreachable when the stop was sent.
     * The stop is resent until the run is gone.
     */
    @Test
    public void stopsAgainUntilTheRunIsGone() {
      SimulatedWorker worker = new SimulatedWorker("w1", 4);
      JobSimulation simulation = simulation(worker);
      simulation.workMillis = 60_000;
      JobSpec job = job("a", step(1, 2, List.of()));
      simulation.submit(job);
      simulation.run(300);
      worker.reachable = false;
      simulation.post(new JobEvent.JobCancelled(job.id()));
      simulation.run(2_000);
      worker.reachable = true;
      simulation.run(2_000);
      assertEquals(worker.count(), 0);
    }
  }
}
