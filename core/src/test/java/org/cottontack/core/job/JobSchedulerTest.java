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

  /** Steps, attempts and ends on a calm day. */
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

  /** What is stored before what is sent. */
  public static class Durability {

    /**
     * The store is away. A placement that was sent without being stored would be unknown to the
     * next leader, which would start the task again elsewhere while it runs.
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
     * A task ends while the store is away. Once acknowledged, its worker forgets the end; a leader
     * that comes next would find neither run nor end and run the finished task again.
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

  /** Orders that get no answer, workers that go and come back. */
  public static class UnansweredOrders {

    /**
     * A start gets no answer but was carried out. The leader sends it again; the worker takes the
     * same run as the same, and the task runs once.
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
     * A start stays under way for 3 s while its repetition has long run and ended. When it arrives
     * the worker has seen that run end, so the task is not run a second time.
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
     * A look is on its way when a run begins, and its answer, made before that, arrives after it
     * without the run. Taken at its word the task would start again beside itself.
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
     * A worker is cut off while it runs a task. The task starts elsewhere only after its lease has
     * certainly ended there; until then it would run twice.
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
     * A leader dies with tasks running. The next one finds them on their workers and leaves them
     * alone: their callers see one run of each task.
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
     * A leader dies between storing a placement and sending its order. The next leader asks the
     * worker, does not find the run, and starts the task anew under the next number.
     */
    @Test
    public void startsWhatTheLastLeaderOnlyStored() {
      SimulatedWorker worker = new SimulatedWorker("w1", 8);
      JobSimulation simulation = simulation(worker);
      JobSpec job = job("a", step(1, 2, List.of()));
      simulation.specs.put(job.id(), job);
      simulation.stored.put(job.id(), "r\n0 0 0 p 1 0 w1 ");
      simulation.takeOver();
      simulation.run(2_000);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(worker.starts.keySet(), Set.of(new RunKey(TaskName.parse("a.0.0.0"), 2)));
    }

    /**
     * A worker dies with its lists after its task was stored on it, and another life registers at
     * its address. What ran there is gone at once and starts elsewhere without a wait for the
     * lease.
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
     * A worker crashes and starts again at its address; its old entry leaves the list a little
     * later. Its tasks start at once then, not when the old life's leases would have ended.
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
     * A job is accepted and cancelled while a new leader reads its tables; the cancellation reaches
     * it first. The caller was told that the job is cancelled, so nothing of it may start.
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
     * A cancelled job's worker is out of reach when the stop is sent and comes back later. The stop
     * goes out again until the run is gone.
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
