package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Tests of a leader's decisions about workers that fail, leave or do not answer. */
public class WorkerTroubleTest {

  /** Leaders that do not reach their workers. */
  public static class Reachability {

    private static SimulatedWorker in(String dataCentre, String id) {
      return new SimulatedWorker(id, 8, id + ":1", dataCentre);
    }

    private static long handOvers(JobSimulation simulation) {
      return simulation.effects.stream().filter(JobEffect.HandOver.class::isInstance).count();
    }

    /**
     * Guards against a leader that keeps leadership while its data centre is cut off from two
     * others. Jobs there would wait for the few workers it can reach, so it hands over once most
     * workers do not answer.
     */
    @Test
    public void handsOverWhenCutOffFromMostWorkers() {
      SimulatedWorker here = in("a", "w1");
      SimulatedWorker second = in("b", "w2");
      SimulatedWorker third = in("c", "w3");
      JobSimulation simulation = simulation(here, second, third);
      simulation.submit(job("a", step(3, 8, List.of(), StepSpec.Trait.LASTS)));
      simulation.run(4_000);
      assertEquals(handOvers(simulation), 0);
      second.reachable = false;
      third.reachable = false;
      simulation.run(2_500);
      assertTrue(handOvers(simulation) > 0);
    }

    /**
     * Guards against leadership that moves back and forth between two equal sides of a partition.
     */
    @Test
    public void staysWhereHalfAnswer() {
      SimulatedWorker here = in("a", "w1");
      SimulatedWorker there = in("b", "w2");
      JobSimulation simulation = simulation(here, there);
      simulation.submit(job("a", step(2, 8, List.of(), StepSpec.Trait.LASTS)));
      simulation.run(4_000);
      there.reachable = false;
      simulation.run(4_000);
      assertEquals(handOvers(simulation), 0);
    }
  }

  /** Workers that are lost. */
  public static class WorkerLoss {

    /** Time from a leader's last activity until the next one has read all jobs, in milliseconds. */
    private static final long TAKEOVER_MILLIS = 2_500;

    /**
     * Longest acceptable absence of a long-running task after its leader's death, in milliseconds.
     */
    private static final long ABSENT_MILLIS = 9_000;

    private static final TaskName TASK = TaskName.parse("s.0.0.0");

    private static JobSimulation withLongRunningTask(
        SimulatedWorker first, SimulatedWorker second) {
      JobSimulation simulation = simulation(first, second);
      simulation.workMillis = 60_000;
      simulation.submit(job("s", step(1, 4, List.of(), StepSpec.Trait.LASTS)));
      simulation.run(500);
      return simulation;
    }

    private static SimulatedWorker workerOfTask(SimulatedWorker... workers) {
      return Stream.of(workers).filter(worker -> worker.runs(TASK)).findFirst().orElseThrow();
    }

    /**
     * Guards against a lost worker whose runs are not logged. Without a log line per run, the run
     * that made the worker crash could not be determined afterwards.
     */
    @Test
    public void logsRunsThatAreLostWithTheirWorker() {
      SimulatedWorker first = new SimulatedWorker("w1", 8);
      SimulatedWorker second = new SimulatedWorker("w2", 8);
      JobSimulation simulation = withLongRunningTask(first, second);
      SimulatedWorker lost = workerOfTask(first, second);
      simulation.run(4_000);
      simulation.post(new JobEvent.WorkerReborn(lost.info.incarnation()));
      List<String> lines =
          simulation.effects.stream()
              .filter(JobEffect.Note.class::isInstance)
              .map(JobEffect.Note.class::cast)
              .filter(note -> note.name().equals("run.lost"))
              .map(note -> note.subject() + " " + note.detail())
              .toList();
      assertEquals(lines.size(), 1);
      String line = "s\\.0\\.0\\.0#1 %s order=CONFIRMED placed=4\\d{3} listed=[34]\\d{3} .*";
      assertTrue(lines.get(0).matches(line.formatted(lost.info.id())), lines.get(0));
    }

    /**
     * Guards against a long absence of a task whose worker is lost without notice and whose leader
     * is killed 0.5 s later, before it detects the loss. The next leader finds the task on a worker
     * that it never reaches. If it assumed that the old leader's leases may end up to 14.5 s after
     * the start of its own term, the task would be absent for 17 s.
     */
    @Test
    public void longRunningTasksOfLostWorkersReturnSoonAfterTakeover() {
      SimulatedWorker first = new SimulatedWorker("w1", 8);
      SimulatedWorker second = new SimulatedWorker("w2", 8);
      JobSimulation simulation = withLongRunningTask(first, second);
      final SimulatedWorker lost = workerOfTask(first, second);
      final SimulatedWorker other = lost == first ? second : first;
      simulation.run(5_000);
      lost.dead = true;
      simulation.run(500);
      simulation.killLeader();
      simulation.run(TAKEOVER_MILLIS);
      simulation.takeOver();
      simulation.run(ABSENT_MILLIS - TAKEOVER_MILLIS);
      assertTrue(other.runs(TASK));
    }

    /**
     * Guards against a second run where the worker is only cut off and continues with the slowest
     * clock allowed. Each step of the simulation checks that no task runs twice.
     */
    @Test
    public void longRunningTasksOfWorkersCutOffNeverRunTwice() {
      SimulatedWorker first = new SimulatedWorker("w1", 8);
      SimulatedWorker second = new SimulatedWorker("w2", 8);
      first.speed = WorkerClock.SLOWEST;
      second.speed = WorkerClock.SLOWEST;
      JobSimulation simulation = withLongRunningTask(first, second);
      final SimulatedWorker cut = workerOfTask(first, second);
      final SimulatedWorker other = cut == first ? second : first;
      simulation.run(5_000);
      cut.reachable = false;
      simulation.killLeader();
      simulation.run(TAKEOVER_MILLIS);
      simulation.takeOver();
      simulation.run(20_000);
      assertTrue(other.runs(TASK));
    }

    private static long absentMillis(boolean busy) {
      SimulatedWorker first = new SimulatedWorker("w1", 64);
      SimulatedWorker second = new SimulatedWorker("w2", 64);
      JobSimulation simulation = withLongRunningTask(first, second);
      final SimulatedWorker lost = workerOfTask(first, second);
      final SimulatedWorker other = lost == first ? second : first;
      simulation.workMillis = 200;
      simulation.run(5_000);
      lost.dead = true;
      final long from = simulation.now;
      for (int i = 0; !other.runs(TASK) && simulation.now < from + 20_000; i++) {
        if (busy && i % 5 == 0) {
          simulation.submit(job("b" + i, step(4, 2, List.of())));
        }
        simulation.run(10);
      }
      return simulation.now - from;
    }

    /**
     * Guards against orders to a lost worker that delay the return of its long-running task. Orders
     * sent before the loss is detected, 0.9 s later, reach nobody. If each of them counted as a
     * granted lease, the task would be absent for 0.9 s longer.
     */
    @Test
    public void ordersToLostWorkersDoNotLengthenTheWait() {
      long calm = absentMillis(false);
      long busy = absentMillis(true);
      assertTrue(busy <= calm + 100, "calm " + calm + ", busy " + busy);
    }

    /**
     * Guards against yielding leadership to a larger instance before the ends of the leases of a
     * lost worker are stored. The new leader would count them from the last renewal of this leader.
     */
    @Test
    public void keepsLeadershipUntilLeaseEndsOfLostWorkersAreStored() {
      SimulatedWorker first = new SimulatedWorker("w1", 8);
      SimulatedWorker second = new SimulatedWorker("w2", 8);
      JobSimulation simulation = withLongRunningTask(first, second);
      assertTrue(simulation.mayYieldLeadershipTo("dc"));
      final SimulatedWorker lost = workerOfTask(first, second);
      final SimulatedWorker other = lost == first ? second : first;
      lost.dead = true;
      simulation.storeUnavailable = true;
      simulation.run(1_500);
      assertFalse(simulation.mayYieldLeadershipTo("dc"));
      simulation.restoreStore();
      simulation.run(100);
      assertTrue(simulation.mayYieldLeadershipTo("dc"));
      simulation.run(5_000);
      simulation.killLeader();
      simulation.takeOver();
      simulation.run(ABSENT_MILLIS - 6_600);
      assertTrue(other.runs(TASK));
    }

    /**
     * Guards against yielding leadership before workers have answered this leader. It would pass on
     * its own last renewal as the end of the leases of a lost one.
     */
    @Test
    public void keepsLeadershipUntilWorkersHaveAnswered() {
      SimulatedWorker first = new SimulatedWorker("w1", 8);
      SimulatedWorker second = new SimulatedWorker("w2", 8);
      JobSimulation simulation = withLongRunningTask(first, second);
      workerOfTask(first, second).reachable = false;
      simulation.killLeader();
      simulation.takeOver();
      simulation.run(100);
      assertFalse(simulation.mayYieldLeadershipTo("dc"));
      simulation.run(1_300);
      assertTrue(simulation.mayYieldLeadershipTo("dc"));
    }

    /**
     * Guards against logs that do not show how long the tasks of an unreachable worker have to
     * wait.
     */
    @Test
    public void logsHowLongTasksOfLostWorkersWait() {
      SimulatedWorker first = new SimulatedWorker("w1", 8);
      SimulatedWorker second = new SimulatedWorker("w2", 8);
      JobSimulation simulation = withLongRunningTask(first, second);
      workerOfTask(first, second).dead = true;
      simulation.killLeader();
      simulation.takeOver();
      simulation.run(500);
      assertEquals(
          simulation.effects.stream()
              .filter(JobEffect.Note.class::isInstance)
              .map(JobEffect.Note.class::cast)
              .filter(note -> note.name().equals("worker.awaited"))
              .count(),
          1);
    }

    /** Guards against a metric that does not show how long tasks of lost workers have to wait. */
    @Test
    public void reportsLongestLeaseWait() {
      SimulatedWorker first = new SimulatedWorker("w1", 8);
      SimulatedWorker second = new SimulatedWorker("w2", 8);
      JobSimulation simulation = withLongRunningTask(first, second);
      assertEquals(simulation.longestLeaseWaitMillis(), 0);
      workerOfTask(first, second).dead = true;
      simulation.run(2_000);
      final long wait = simulation.longestLeaseWaitMillis();
      assertTrue(wait > 0 && wait <= LeaderLease.GRANT_MILLIS, "wait " + wait);
      simulation.run(wait + 200);
      assertEquals(simulation.longestLeaseWaitMillis(), 0);
    }
  }

  /** Workers that must get no new work. */
  public static class Avoidance {

    /**
     * Guards against a worker that answers normally and fails everything it starts. After two
     * failed jobs it gets no more for a while, and the failed tasks are retried elsewhere, so all
     * jobs complete.
     */
    @Test
    public void suspectsWorkersThatFailEverything() {
      SimulatedWorker bad = new SimulatedWorker("w1", 32);
      SimulatedWorker good = new SimulatedWorker("w2", 16);
      JobSimulation simulation = simulation(bad, good);
      bad.failsAll = true;
      for (int i = 0; i < 8; i++) {
        simulation.submit(job("a" + i, step(1, 1, List.of())));
        simulation.run(1_000);
      }
      simulation.run(2_000);
      assertTrue(bad.starts.size() <= 5, "starts on the bad worker: " + bad.starts.size());
      for (int i = 0; i < 8; i++) {
        assertEquals(simulation.phase(new JobId("a" + i)), JobPhase.COMPLETE);
      }
    }

    /**
     * Guards against a worker that answers normally while its runs stall. They are stopped and
     * retried elsewhere; otherwise their callers would wait indefinitely.
     */
    @Test
    public void movesStalledRuns() {
      SimulatedWorker bad = new SimulatedWorker("w1", 32);
      SimulatedWorker good = new SimulatedWorker("w2", 16);
      JobSimulation simulation = simulation(bad, good);
      bad.stalls = true;
      JobSpec job = job("a", step(1, 1, List.of()));
      simulation.submit(job);
      simulation.run(8_000);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
    }

    /**
     * Guards against a start that is sent when the save of an earlier placement of its task
     * completes.
     */
    @Test
    public void startsNothingWithSaveOfEarlierPlacement() {
      SimulatedWorker first = new SimulatedWorker("w1", 8);
      SimulatedWorker second = new SimulatedWorker("w2", 8);
      JobSimulation simulation = simulation(first, second);
      simulation.storeUnavailable = true;
      simulation.submit(job("a", step(1, 2, List.of())));
      simulation.run(50);
      simulation.post(new JobEvent.WorkerReborn(second.info.incarnation()));
      simulation.post(new JobEvent.WorkerReborn(first.info.incarnation()));
      simulation.post(new JobEvent.WorkerSeen(first.info));
      simulation.run(300);
      simulation.restoreStore();
      simulation.run(2_000);
      assertEquals(simulation.starts(), 1);
    }

    /** Guards against answers to stops that keep a run placed which its worker no longer lists. */
    @Test
    public void movesLongRunningTaskWhoseCompletionIsNeverListed() {
      SimulatedWorker first = new SimulatedWorker("w1", 8);
      SimulatedWorker second = new SimulatedWorker("w2", 8);
      JobSimulation simulation = simulation(first, second);
      simulation.workMillis = 60_000;
      simulation.submit(job("a", step(1, 2, List.of(), StepSpec.Trait.LASTS)));
      simulation.run(1_000);
      SimulatedWorker leaving = first.count() == 1 ? first : second;
      final SimulatedWorker other = leaving == first ? second : first;
      simulation.maxWaitMillis = 1_000;
      leaving.dropsCompletions = true;
      simulation.post(JobSimulation.draining(leaving));
      simulation.run(2_500);
      assertEquals(other.count(), 1);
    }

    /**
     * Guards against resending an unanswered order to a worker that has announced that it is
     * leaving.
     */
    @Test
    public void resendsNothingToLeavingWorkers() {
      SimulatedWorker leaving = new SimulatedWorker("w1", 8);
      JobSimulation simulation = simulation(leaving);
      simulation.delay = effect -> effect instanceof JobEffect.StartRun ? 20_000 : 0;
      simulation.submit(job("a", step(1, 2, List.of())));
      simulation.run(500);
      simulation.post(JobSimulation.draining(leaving));
      simulation.delay = effect -> 0;
      simulation.run(6_000);
      assertEquals(simulation.starts(), 0);
    }

    /**
     * Guards against long-running tasks that stay on a draining worker. If the leader changed right
     * after the worker left, the new one would wait out the leases of a worker that it never
     * reached, and the tasks would be absent that long. They move while the worker drains, as far
     * as capacity allows.
     */
    @Test
    public void movesLongRunningTasksOffDrainingWorkers() {
      SimulatedWorker leaving = new SimulatedWorker("w1", 32);
      JobSimulation simulation = simulation(leaving);
      simulation.workMillis = 60_000;
      simulation.submit(job("s", step(3, 4, List.of(), StepSpec.Trait.LASTS)));
      simulation.run(500);
      assertEquals(leaving.count(), 3);
      SimulatedWorker other = new SimulatedWorker("w2", 8);
      simulation.workers.put(other.info.id(), other);
      simulation.post(new JobEvent.WorkerSeen(other.info));
      simulation.post(JobSimulation.draining(leaving));
      simulation.run(1_500);
      assertEquals(other.count(), 2);
      assertEquals(leaving.count(), 1);
    }

    /**
     * Guards against a first stop order that is lost on its way to a draining worker. It is resent,
     * and all long-running tasks leave in time.
     */
    @Test
    public void lostStopsDoNotKeepLongRunningTasksOnDrainingWorkers() {
      SimulatedWorker leaving = new SimulatedWorker("w1", 16);
      JobSimulation simulation = simulation(leaving);
      simulation.workMillis = 60_000;
      simulation.submit(job("s", step(2, 4, List.of(), StepSpec.Trait.LASTS)));
      simulation.run(500);
      SimulatedWorker other = new SimulatedWorker("w2", 16);
      simulation.workers.put(other.info.id(), other);
      simulation.post(new JobEvent.WorkerSeen(other.info));
      int[] stops = {0};
      simulation.lost =
          effect -> {
            boolean first = effect instanceof JobEffect.StopRun && stops[0] == 0;
            stops[0] += first ? 1 : 0;
            return first;
          };
      simulation.post(JobSimulation.draining(leaving));
      simulation.run(2_500);
      assertEquals(other.count(), 2);
    }

    /**
     * Guards against a job that can never run and waits indefinitely. It must not keep long-running
     * tasks on a worker that drains.
     */
    @Test
    public void unplaceableJobsDoNotKeepLongRunningTasksOnDrainingWorkers() {
      SimulatedWorker leaving = new SimulatedWorker("w1", 16);
      JobSimulation simulation = simulation(leaving);
      simulation.workMillis = 60_000;
      simulation.submit(job("s", step(1, 4, List.of(), StepSpec.Trait.LASTS)));
      simulation.submit(job("never", step(1, 99, List.of(), StepSpec.Trait.LASTS)));
      simulation.run(500);
      SimulatedWorker other = new SimulatedWorker("w2", 16);
      simulation.workers.put(other.info.id(), other);
      simulation.post(new JobEvent.WorkerSeen(other.info));
      simulation.post(JobSimulation.draining(leaving));
      simulation.run(1_500);
      assertTrue(other.runs(TaskName.parse("s.0.0.0")));
    }

    @Test
    public void placesNothingOnDrainingWorkers() {
      SimulatedWorker worker = new SimulatedWorker("w1", 8);
      JobSimulation simulation = simulation(worker);
      simulation.post(JobSimulation.draining(worker));
      simulation.submit(job("a", step(1, 2, List.of())));
      simulation.run(1_000);
      assertEquals(simulation.starts(), 0);
    }

    @Test
    public void placesNothingOnWorkersOfAnotherPool() {
      SimulatedWorker worker = new SimulatedWorker("w1", 8);
      JobSimulation simulation = simulation(worker);
      JobQueue moved = new JobQueue("queue", "host", "/jobs/", "other", 0, 2, 1.5, 250, false);
      simulation.table(new JobTable(2, List.of(moved), List.of()));
      simulation.submit(job("a", step(1, 2, List.of())));
      simulation.run(1_000);
      assertEquals(simulation.starts(), 0);
    }

    @Test
    public void forgetsWorkersThatLeftEmpty() {
      SimulatedWorker worker = new SimulatedWorker("w1", 8);
      JobSimulation simulation = simulation(worker);
      simulation.post(new JobEvent.WorkerUnlisted(worker.info.incarnation()));
      simulation.submit(job("a", step(1, 2, List.of())));
      simulation.run(1_000);
      assertEquals(simulation.starts(), 0);
    }
  }
}
