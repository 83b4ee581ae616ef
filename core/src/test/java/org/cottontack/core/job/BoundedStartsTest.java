package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests of what keeps orders to start from leaving, and from beginning, too late. */
public class BoundedStartsTest {

  private static final JobId ID = new JobId("a");

  /** Submits a job whose start stays on its way. */
  private static JobSimulation withStartOnItsWay() {
    JobSimulation lab = simulation(new SimulatedWorker("w1", 8));
    lab.delay = effect -> effect instanceof JobEffect.StartRun ? 60_000 : 0;
    lab.submit(job(ID.value(), step(1, 2, List.of())));
    lab.run(300);
    return lab;
  }

  private static List<JobEffect.StartRun> starts(JobSimulation lab) {
    return lab.seen.stream()
        .filter(JobEffect.StartRun.class::isInstance)
        .map(JobEffect.StartRun.class::cast)
        .toList();
  }

  /** Orders that wait for their connection. */
  public static class Sending {

    /** Guards against a start that leaves after its job was cancelled. */
    @Test
    public void nothingOfCancelledJobsLeaves() {
      JobSimulation lab = withStartOnItsWay();
      JobEffect.StartRun start = starts(lab).get(0);
      assertTrue(lab.maySend(start));
      lab.post(new JobEvent.JobCancelled(ID));
      assertFalse(lab.maySend(start));
    }

    /** Guards against a start that leaves after its task was placed elsewhere. */
    @Test
    public void nothingLeavesThatIsNoLongerPlacedThere() {
      JobSimulation lab = withStartOnItsWay();
      JobEffect.StartRun start = starts(lab).get(0);
      WorkerIncarnation worker = start.target().incarnation();
      lab.post(new JobEvent.StartEnded(worker, start.run(), StartResult.UNHEALTHY));
      assertFalse(lab.maySend(start));
    }
  }

  /** Orders that stay on their way. */
  public static class Ending {

    private static final long BOUND_MILLIS = 1_000;
    private static final long LONG_LEASE_MILLIS = 5_000;

    /** Returns a lab in which looks have given a worker a lease that lasts. */
    private static JobSimulation withLease(SimulatedWorker worker) {
      JobSimulation lab = simulation(worker);
      lab.workMillis = 60_000;
      lab.submit(job("before", step(1, 2, List.of())));
      lab.run(2_000);
      return lab;
    }

    private static JobEffect.StartRun lastStart(JobSimulation lab) {
      return starts(lab).get(starts(lab).size() - 1);
    }

    /** Guards against a start that is carried out when its job may long be cancelled. */
    @Test
    public void beginsNothingAfterTheBound() {
      JobSimulation lab = withLease(new SimulatedWorker("w1", 8));
      lab.delay = effect -> effect instanceof JobEffect.StartRun ? BOUND_MILLIS + 100 : 0;
      lab.post(new JobEvent.StartsBounded(lab.now + BOUND_MILLIS));
      lab.submit(job(ID.value(), step(1, 2, List.of())));
      lab.run(4_000);
      assertEquals(lab.starts(), 1);
      lab.delay = effect -> 0;
      lab.post(new JobEvent.StartsBounded(lab.now + BOUND_MILLIS));
      lab.run(1_000);
      assertEquals(lab.starts(), 2);
    }

    /** Guards against runs that end with a short bound since they hold no other lease. */
    @Test
    public void bringsLeasesToIdleWorkers() {
      JobSimulation lab = simulation(new SimulatedWorker("w1", 8));
      lab.post(new JobEvent.StartsBounded(lab.now + BOUND_MILLIS));
      lab.submit(job(ID.value(), step(1, 2, List.of())));
      lab.run(100);
      assertTrue(lastStart(lab).deadlineMillis() > lab.now + LONG_LEASE_MILLIS);
    }

    /** Guards against trust in a lease that a look brings which no answer has confirmed. */
    @Test
    public void bringsLeasesWhereLooksAreUnanswered() {
      SimulatedWorker worker = new SimulatedWorker("w1", 8);
      JobSimulation lab = simulation(worker);
      lab.run(3_000);
      final long asked = lab.now;
      lab.delay = effect -> effect instanceof JobEffect.LookAtWorker ? 60_000 : 0;
      for (int before = lab.seen.size(); lab.seen.size() == before; ) {
        lab.run(10);
      }
      WorkerReport overtaken =
          new WorkerReport(
              worker.info.incarnation().startTimeMillis(), asked, List.of(), List.of());
      lab.post(new JobEvent.WorkerReported(worker.info.incarnation(), asked, overtaken));
      lab.post(new JobEvent.StartsBounded(lab.now + BOUND_MILLIS));
      lab.submit(job(ID.value(), step(1, 2, List.of())));
      lab.run(100);
      assertTrue(lastStart(lab).deadlineMillis() > lab.now + LONG_LEASE_MILLIS);
    }
  }
}
