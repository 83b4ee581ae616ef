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
      return simulation.seen.stream().filter(JobEffect.HandOver.class::isInstance).count();
    }

    /**
     * The leader's data centre is cut off from two others, and callers there see their jobs wait
     * for the few workers at hand. It gives the lead away once most workers do not answer.
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

    /** Two equal sides: neither reaches more, and the lead must not go to and fro. */
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

    /** How long a leader is silent until the next one has read all jobs, in milliseconds. */
    private static final long TAKEOVER_MILLIS = 2_500;

    /** Longest time that callers bear a lasting task away after its leader's death. */
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
     * A worker is lost with a run that it had listed for some time. Without a line for the run
     * nobody can tell afterwards which of the runs there made the worker crash.
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
          simulation.seen.stream()
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
     * A worker is lost without notice, and 0.5 s later the leader is killed, before it noticed. The
     * next leader finds the task placed on a worker that it never reaches. It took the latest end
     * that a lease of the dead leader could have, 14.5 s from the beginning of its own term, for
     * the end of this one, and callers saw the task away for 17 s.
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
     * The same, but the worker is only cut off and goes on, by the slowest clock that a worker may
     * have. Nothing starts beside it: each step of the lab checks that no task runs twice.
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
     * A worker is lost and gets orders until that is noticed, 0.9 s later. They reach nobody, but
     * each brought a lease that might have: callers saw the lasting task there away for 0.9 s more.
     */
    @Test
    public void ordersToLostWorkersDoNotLengthenTheWait() {
      long calm = absentMillis(false);
      long busy = absentMillis(true);
      assertTrue(busy <= calm + 100, "calm " + calm + ", busy " + busy);
    }

    /**
     * A worker is lost, and a larger instance asks for the lead. It would count the leases of that
     * worker anew, from the last renewal of this leader; so it gets the lead once they have ended.
     */
    @Test
    public void keepsLeadershipUntilLeasesOfLostWorkersExpire() {
      SimulatedWorker first = new SimulatedWorker("w1", 8);
      SimulatedWorker second = new SimulatedWorker("w2", 8);
      JobSimulation simulation = withLongRunningTask(first, second);
      assertTrue(simulation.mayYieldLeadershipTo("dc"));
      workerOfTask(first, second).dead = true;
      simulation.run(1_500);
      assertFalse(simulation.mayYieldLeadershipTo("dc"));
      simulation.run(9_000);
      assertTrue(simulation.mayYieldLeadershipTo("dc"));
    }

    /** Logs tell for how long the tasks of a worker that nobody reaches have to wait. */
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
          simulation.seen.stream()
              .filter(JobEffect.Note.class::isInstance)
              .map(JobEffect.Note.class::cast)
              .filter(note -> note.name().equals("worker.awaited"))
              .count(),
          1);
    }
  }

  /** Workers that must get nothing. */
  public static class Avoidance {

    /**
     * A worker answers well and fails all that it starts. After two jobs it gets no more for a
     * while, and what failed there is tried elsewhere: callers see their jobs complete.
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
     * A worker answers well and its runs stand still. They are stopped and tried elsewhere; without
     * that their callers would wait for ever.
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

    /** Guards against a start that leaves with the save of an earlier placement of its task. */
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
      simulation.longestWaitMillis = 1_000;
      leaving.dropsCompletions = true;
      simulation.post(JobSimulation.draining(leaving));
      simulation.run(2_500);
      assertEquals(other.count(), 1);
    }

    /**
     * Guards against an unanswered order that is sent again to a worker which says that it leaves.
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
     * A worker is about to leave with tasks that last, and the leader changes right after. The new
     * one would have to wait out the leases of a worker that it never reached, and the tasks would
     * be away for all that time. They move while the worker drains, as far as there is room.
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
     * The first order to stop is lost on its way to a worker that drains. It goes out again, and
     * all lasting tasks leave in time.
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
     * A job that can never run waits for ever. Lasting tasks still leave a worker that drains;
     * otherwise one such job would tie all of them to workers that go.
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
