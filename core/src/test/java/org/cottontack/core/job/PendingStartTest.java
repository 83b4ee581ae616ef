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

  /** How long before a late start a worker is back: too short for its leader to ask it. */
  private static final long BACK_BEFORE_MILLIS = 20;

  private static JobSimulation fleet(int workers) {
    JobSimulation lab = restartingFleet(workers);
    lab.listsCrashedWorkers = true;
    lab.run(1_000);
    return lab;
  }

  /** Has the second start carried out so late, the first one as given. */
  private static AtomicInteger delayStarts(JobSimulation lab, long first, long second) {
    AtomicInteger sent = new AtomicInteger();
    lab.delay =
        effect ->
            effect instanceof JobEffect.StartRun ? sent.incrementAndGet() == 1 ? first : second : 0;
    return sent;
  }

  private static void runUntilSent(JobSimulation lab, AtomicInteger sent, int starts) {
    while (sent.get() < starts) {
      lab.run(10);
    }
  }

  private static void backJustBefore(JobSimulation lab, WorkerId worker, long arrivesMillis) {
    lab.run(arrivesMillis - BACK_BEFORE_MILLIS - RESTART_MILLIS - lab.now);
    lab.crash(lab.workers.get(worker));
  }

  /** In the laboratory. */
  public static class Carried {

    /** Guards against a start that is forgotten since its run was stopped before its answer. */
    @Test
    public void runsNothingDoneWhereStoppedStartComesLate() {
      JobSimulation lab = fleet(2);
      final AtomicInteger sent = delayStarts(lab, 0, 8_000);
      final JobSpec job = job("stopped", step(1, 2, List.of()));
      lab.submit(job);
      runUntilSent(lab, sent, 1);
      lab.run(100);
      final SimulatedWorker first =
          lab.workers.values().stream().filter(w -> w.count() > 0).findFirst().orElseThrow();
      final WorkerId second =
          lab.workers.keySet().stream()
              .filter(id -> !id.equals(first.info.id()))
              .findFirst()
              .orElseThrow();
      first.reachable = false;
      runUntilSent(lab, sent, 2);
      final long arrives = lab.now + 8_000;
      first.reachable = true;
      lab.run(500);
      assertEquals(lab.phase(job.id()), JobPhase.COMPLETE);
      lab.workMillis = 100;
      backJustBefore(lab, second, arrives);
      lab.run(30_000);
      assertEquals(lab.phase(job.id()), JobPhase.COMPLETE);
      assertEquals(first.lastAcknowledgedCompletion(), 1);
    }

    /** Guards against a start sent again that is forgotten since the first one began its run. */
    @Test
    public void runsNothingDoneWhereStartSentAgainComesLate() {
      JobSimulation lab = fleet(1);
      lab.workMillis = 100;
      final AtomicInteger sent = delayStarts(lab, 1_500, 11_900);
      final JobSpec job = job("again", step(1, 2, List.of()));
      lab.submit(job);
      runUntilSent(lab, sent, 2);
      final long arrives = lab.now + 11_900;
      lab.run(1_000);
      assertEquals(lab.phase(job.id()), JobPhase.COMPLETE);
      backJustBefore(lab, new WorkerId("w0"), arrives);
      lab.run(30_000);
      assertEquals(lab.phase(job.id()), JobPhase.COMPLETE);
    }
  }

  /** What a task knows. */
  public static class Known {

    private static final WorkerIncarnation LIFE = new WorkerIncarnation(new WorkerId("w0"), 7);
    private static final WorkerIncarnation NEXT = new WorkerIncarnation(new WorkerId("w0"), 70);
    private static final WorkerIncarnation OTHER = new WorkerIncarnation(new WorkerId("w1"), 9);

    private static Task sentTo(WorkerIncarnation life) {
      Job job = new Job(job("known", step(1, 2, List.of())), 0);
      job.advance(0);
      Task task = job.tasks().findFirst().orElseThrow();
      task.place(life, 0);
      task.sent(10);
      return task;
    }

    /** Guards against a start that is forgotten with the place of its run. */
    @Test
    public void remembersStartOfRunThatIsOver() {
      Task task = sentTo(LIFE);
      task.release();
      assertTrue(task.pinned(LateStart.LATEST_MILLIS + 9));
      assertFalse(task.pinned(LateStart.LATEST_MILLIS + 10));
      assertFalse(task.mayStartOn(OTHER, 1_000));
      assertTrue(task.mayStartOn(NEXT, 1_000));
      task.startEnded(LIFE, 1, false);
      assertTrue(task.pinned(1_000));
    }

    /** Guards against tasks that wait for a start whose answer came after its run was over. */
    @Test
    public void forgetsStartThatWasAnswered() {
      Task task = sentTo(LIFE);
      task.release();
      task.startEnded(LIFE, 1, true);
      assertFalse(task.pinned(1_000));
    }

    /** Guards against an answer to one start that is taken for that to another. */
    @Test
    public void takesAnswersForTheirOwnStart() {
      Task task = sentTo(LIFE);
      task.release();
      task.startEnded(NEXT, 1, true);
      task.startEnded(LIFE, 2, true);
      assertTrue(task.pinned(1_000));
    }

    /** Guards against a start that is forgotten when the next run's leaves. */
    @Test
    public void remembersStartOfRunBefore() {
      Task task = sentTo(LIFE);
      task.release();
      task.place(NEXT, 5_000);
      task.sent(5_000);
      task.startEnded(NEXT, 2, true);
      assertTrue(task.pinned(LateStart.LATEST_MILLIS + 9));
    }

    /** Guards against a start that no longer counts and binds its task to another worker. */
    @Test
    public void forgetsExpiredStartWhereNextOneLeaves() {
      WorkerIncarnation late = new WorkerIncarnation(new WorkerId("w0"), 700);
      Task task = sentTo(late);
      task.startEnded(late, 1, false);
      task.release();
      task.place(OTHER, 20_000);
      task.sent(20_000);
      task.release();
      assertTrue(task.pinnedTo(OTHER.worker()));
    }

    /** Guards against waiting for lives of workers that never return. */
    @Test
    public void awaitsNothingOfWorkersThatDoNotReturn() {
      Task task = sentTo(WorkerIncarnation.withUniqueIdentifier(new WorkerId("w0")));
      task.release();
      assertFalse(task.pinned(1_000));
    }
  }
}
