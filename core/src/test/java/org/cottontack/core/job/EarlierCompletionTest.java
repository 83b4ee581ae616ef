package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.RESTART_MILLIS;
import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.restartingFleet;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;

import java.util.List;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.Test;

/** Tests of runs that turn out to be done while a later run of their task has its place. */
public class EarlierCompletionTest {

  private static final WorkerId FIRST = new WorkerId("w0");

  /** Work that is not done before the earlier run's end is listed, in milliseconds. */
  private static final long LONG_MILLIS = 30_000;

  /** Time until a worker out of touch has lost its leases, in milliseconds. */
  private static final long LAPSE_MILLIS = 11_000;

  private static JobSimulation fleet(int workers) {
    JobSimulation lab = restartingFleet(workers);
    lab.listsCrashedWorkers = true;
    lab.run(1_000);
    return lab;
  }

  private static JobSpec submit(JobSimulation lab) {
    JobSpec job = job("earlier", step(1, 2, List.of()));
    lab.submit(job);
    lab.run(100);
    return job;
  }

  /** The later run was placed on an earlier life of the worker that lists the end. */
  public static class SameWorker {

    private static final long DELAY_MILLIS = 8_000;

    /** How long before a late start a worker is back: too short for its leader to ask it. */
    private static final long BACK_BEFORE_MILLIS = 20;

    /** Has the second run begin on the next life, and that one crash just before the first copy. */
    private static JobSpec crashTwice(JobSimulation lab) {
      final long arrives = lab.now + DELAY_MILLIS;
      lab.delay = effect -> effect instanceof JobEffect.StartRun ? DELAY_MILLIS : 0;
      final JobSpec job = submit(lab);
      lab.delay = effect -> 0;
      lab.workMillis = LONG_MILLIS;
      lab.crash(lab.workers.get(FIRST));
      lab.run(arrives - BACK_BEFORE_MILLIS - RESTART_MILLIS - lab.now);
      assertEquals(lab.workers.get(FIRST).count(), 1);
      lab.workMillis = 100;
      lab.crash(lab.workers.get(FIRST));
      return job;
    }

    /** Lets the copy be done before anybody asks. */
    private static void copyIsDone(JobSimulation lab) {
      lab.run(RESTART_MILLIS + 300);
      assertEquals(lab.workers.get(FIRST).count(), 0);
      lab.workMillis = 500;
    }

    /** Guards against a task that its leader starts again after an earlier run's listed end. */
    @Test
    public void startsNothingAgainThatCopyHasDone() {
      JobSimulation lab = fleet(1);
      final JobSpec job = crashTwice(lab);
      lab.delay = effect -> effect instanceof JobEffect.LookAtWorker ? DELAY_MILLIS : 0;
      copyIsDone(lab);
      lab.delay = effect -> 0;
      lab.run(30_000);
      assertEquals(lab.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(lab.starts(), 2);
    }

    /** Guards against a next leader that starts a task again after an earlier run's end. */
    @Test
    public void startsNothingAgainAfterTakeover() {
      JobSimulation lab = fleet(1);
      final JobSpec job = crashTwice(lab);
      lab.killLeader();
      copyIsDone(lab);
      lab.takeOver();
      lab.run(30_000);
      assertEquals(lab.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(lab.starts(), 2);
    }
  }

  /** The later run is on another worker. */
  public static class OtherWorker {

    private static SimulatedWorker only(JobSimulation lab) {
      return lab.workers.values().stream().filter(w -> w.count() > 0).findFirst().orElseThrow();
    }

    /** Has a task done by a worker that is cut off, and placed on the other one. */
    private static SimulatedWorker doneOutOfTouch(JobSimulation lab) {
      lab.run(100);
      SimulatedWorker first = only(lab);
      first.reachable = false;
      lab.workMillis = LONG_MILLIS;
      lab.run(LAPSE_MILLIS);
      assertEquals(first.count(), 0);
      return first;
    }

    /** Guards against an end that is made final while the task runs elsewhere. */
    @Test
    public void acknowledgesNoEndBesideRun() {
      JobSimulation lab = fleet(2);
      final JobSpec job = submit(lab);
      final SimulatedWorker first = doneOutOfTouch(lab);
      assertEquals(lab.starts(), 2);
      lab.lost = JobEffect.StopRun.class::isInstance;
      first.reachable = true;
      lab.run(3_000);
      assertEquals(first.lastAcknowledgedCompletion(), 0);
      lab.lost = effect -> false;
      lab.run(2_000);
      assertEquals(lab.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(lab.starts(), 2);
      lab.run(LateStart.LATEST_MILLIS);
      assertEquals(first.lastAcknowledgedCompletion(), 1);
    }

    /** Guards against a failure of the later run that counts though the task is done. */
    @Test
    public void takesNoFailureOfWhatIsDone() {
      JobSimulation lab = fleet(2);
      JobQueue once = new JobQueue("queue", "host", "/jobs/", "pool", 0, 1, 1.5, 250, false);
      lab.table(new JobTable(2, List.of(once), List.of()));
      final JobSpec job = submit(lab);
      final SimulatedWorker first = doneOutOfTouch(lab);
      lab.lost = JobEffect.StopRun.class::isInstance;
      first.reachable = true;
      lab.run(1_000);
      lab.fails = true;
      lab.run(LONG_MILLIS);
      assertEquals(lab.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(lab.starts(), 2);
    }

    /** Guards against a later run that begins although the task turned out to be done before. */
    @Test
    public void startsNoRunWhosePlaceIsNotStored() {
      JobSimulation lab = fleet(2);
      final JobSpec job = submit(lab);
      lab.run(100);
      final SimulatedWorker first = only(lab);
      first.reachable = false;
      lab.run(7_000);
      lab.storeUnavailable = true;
      while (lab.seen.stream().filter(EarlierCompletionTest::places).count() < 2) {
        lab.run(10);
      }
      first.reachable = true;
      lab.run(500);
      // The leader's lease is renewed before the placement is stored.
      lab.storeUnavailable = false;
      lab.run(200);
      lab.restoreStore();
      lab.run(5_000);
      assertEquals(lab.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(lab.starts(), 1);
    }
  }

  private static boolean places(JobEffect effect) {
    return effect instanceof JobEffect.Note note && note.name().equals("job.placed");
  }
}
