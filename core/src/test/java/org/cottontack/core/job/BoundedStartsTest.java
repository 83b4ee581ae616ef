package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.restartingFleet;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.Test;

/** Tests of what prevents start orders from being sent, and runs from beginning, too late. */
public class BoundedStartsTest {

  private static final JobId ID = new JobId("a");

  /** Submits a job whose start stays in flight. */
  private static JobSimulation withStartInFlight() {
    JobSimulation simulation = simulation(new SimulatedWorker("w1", 8));
    simulation.delay = effect -> effect instanceof JobEffect.StartRun ? 60_000 : 0;
    simulation.submit(job(ID.value(), step(1, 2, List.of())));
    simulation.run(300);
    return simulation;
  }

  private static SimulatedWorker worker(JobSimulation simulation) {
    return simulation.workers.values().iterator().next();
  }

  private static List<JobEffect.StartRun> starts(JobSimulation simulation) {
    return simulation.effects.stream()
        .filter(JobEffect.StartRun.class::isInstance)
        .map(JobEffect.StartRun.class::cast)
        .toList();
  }

  /** Orders that wait for their connection. */
  public static class Sending {

    /** Guards against a start that is sent after its job was cancelled. */
    @Test
    public void sendsNothingOfCancelledJobs() {
      JobSimulation simulation = withStartInFlight();
      JobEffect.StartRun start = starts(simulation).get(0);
      assertTrue(simulation.maySend(start));
      simulation.post(new JobEvent.JobCancelled(ID));
      assertFalse(simulation.maySend(start));
    }

    /** Guards against a start that is sent after its task was placed elsewhere. */
    @Test
    public void sendsNothingThatIsNoLongerPlacedThere() {
      JobSimulation simulation = withStartInFlight();
      JobEffect.StartRun start = starts(simulation).get(0);
      WorkerIncarnation worker = start.target().incarnation();
      simulation.post(new JobEvent.StartEnded(worker, start.run(), StartResult.UNHEALTHY));
      assertFalse(simulation.maySend(start));
    }

    /** Guards against a start that leaves after the next leader was told when it expires. */
    @Test
    public void sendsNothingWhoseExpiryIsStored() {
      JobSimulation simulation = simulation(new SimulatedWorker("w1", 8));
      simulation.delay = effect -> effect instanceof JobEffect.StartRun ? 60_000 : 0;
      simulation.submit(job(ID.value(), step(1, 2, List.of(), StepSpec.Trait.LASTS)));
      simulation.run(300);
      JobEffect.StartRun start = starts(simulation).get(0);
      assertTrue(simulation.maySend(start));
      worker(simulation).dead = true;
      simulation.run(3_000);
      assertTrue(simulation.facts.starts().containsKey(start.run()));
      assertFalse(simulation.maySend(start));
    }

    /** Guards against a stored expiry that is shorter than the time in which a start may arrive. */
    @Test
    public void startsExpireCountedFromSending() {
      JobSimulation simulation = restartingFleet(1);
      simulation.delay = effect -> effect instanceof JobEffect.StartRun ? 60_000 : 0;
      simulation.submit(job(ID.value(), step(1, 2, List.of(), StepSpec.Trait.LASTS)));
      simulation.run(700);
      JobEffect.StartRun start = starts(simulation).get(0);
      simulation.startSent(start);
      final long leftMillis = simulation.now;
      worker(simulation).dead = true;
      simulation.run(4_000);
      assertEquals(
          simulation.facts.starts().get(start.run()).expiresMillis(),
          leftMillis + LateStart.LATEST_MILLIS);
    }

    /** Guards against a start that counts as one of two because the first one never left. */
    @Test
    public void startsThatNeverLeftAreNotInDoubt() {
      Task task = TestWorker.serving("s", "image");
      task.place(new WorkerIncarnation(new WorkerId("w"), 7), 1_000);
      task.sent(1_000);
      task.startEnded(task.worker, task.run, true);
      task.startNotSent();
      task.sent(1_100);
      task.unanswered();
      task.recordStartArrived();
      assertFalse(task.pinned(1_200));
    }
  }

  /** Orders that stay in flight. */
  public static class Ending {

    private static final long BOUND_MILLIS = 1_000;
    private static final long LONG_LEASE_MILLIS = 5_000;

    /** Returns a simulation in which polls have granted a worker a lease that lasts. */
    private static JobSimulation withLease(SimulatedWorker worker) {
      JobSimulation simulation = simulation(worker);
      simulation.workMillis = 60_000;
      simulation.submit(job("before", step(1, 2, List.of())));
      simulation.run(2_000);
      return simulation;
    }

    private static JobEffect.StartRun lastStart(JobSimulation simulation) {
      return starts(simulation).get(starts(simulation).size() - 1);
    }

    /** Guards against a start that is carried out when its job may have been cancelled long ago. */
    @Test
    public void beginsNothingAfterTheBound() {
      JobSimulation simulation = withLease(new SimulatedWorker("w1", 8));
      simulation.delay = effect -> effect instanceof JobEffect.StartRun ? BOUND_MILLIS + 100 : 0;
      simulation.post(new JobEvent.StartsBounded(simulation.now + BOUND_MILLIS));
      simulation.submit(job(ID.value(), step(1, 2, List.of())));
      simulation.run(4_000);
      assertEquals(simulation.starts(), 1);
      simulation.delay = effect -> 0;
      simulation.post(new JobEvent.StartsBounded(simulation.now + BOUND_MILLIS));
      simulation.run(1_000);
      assertEquals(simulation.starts(), 2);
    }

    /** Guards against runs that end at an early start deadline because they hold no other lease. */
    @Test
    public void grantsLeasesToIdleWorkers() {
      JobSimulation simulation = simulation(new SimulatedWorker("w1", 8));
      simulation.post(new JobEvent.StartsBounded(simulation.now + BOUND_MILLIS));
      simulation.submit(job(ID.value(), step(1, 2, List.of())));
      simulation.run(100);
      assertTrue(lastStart(simulation).deadlineMillis() > simulation.now + LONG_LEASE_MILLIS);
    }

    /** Guards against relying on a lease granted by a poll that no answer has confirmed. */
    @Test
    public void grantsLeasesWherePollsAreUnanswered() {
      SimulatedWorker worker = new SimulatedWorker("w1", 8);
      JobSimulation simulation = simulation(worker);
      simulation.run(3_000);
      final long sentMillis = simulation.now;
      simulation.delay = effect -> effect instanceof JobEffect.LookAtWorker ? 60_000 : 0;
      for (int before = simulation.effects.size(); simulation.effects.size() == before; ) {
        simulation.run(10);
      }
      WorkerReport overtaken =
          new WorkerReport(
              worker.info.incarnation().startTimeMillis(), sentMillis, List.of(), List.of());
      simulation.post(
          new JobEvent.WorkerReported(worker.info.incarnation(), sentMillis, overtaken));
      simulation.post(new JobEvent.StartsBounded(simulation.now + BOUND_MILLIS));
      simulation.submit(job(ID.value(), step(1, 2, List.of())));
      simulation.run(100);
      assertTrue(lastStart(simulation).deadlineMillis() > simulation.now + LONG_LEASE_MILLIS);
    }
  }
}
