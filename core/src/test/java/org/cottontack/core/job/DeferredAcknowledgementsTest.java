package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.RESTART_MILLIS;
import static org.cottontack.core.job.JobFixtures.step;
import static org.cottontack.core.job.LateStartTest.FIRST;
import static org.cottontack.core.job.LateStartTest.crash;
import static org.cottontack.core.job.LateStartTest.fleet;
import static org.cottontack.core.job.LateStartTest.restartJustBefore;
import static org.cottontack.core.job.LateStartTest.submitLate;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of deferred acknowledgements and starts in doubt when their leader is lost, or the entry of
 * their worker.
 */
public class DeferredAcknowledgementsTest {

  private static final long DELAY_MILLIS = 10_000;
  private static final long WORK_MILLIS = 20_000;

  private static void changeLeader(JobSimulation simulation, long withoutMillis) {
    simulation.killLeader();
    simulation.run(withoutMillis);
    simulation.takeOver();
  }

  private static void assertCompleteAfterDuplicate(
      JobSimulation simulation, JobSpec job, long arrivesMillis) {
    restartJustBefore(simulation, arrivesMillis);
    simulation.run(60_000);
    assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
  }

  /** Deferred acknowledgements that are stored. */
  public static class Stored {

    /** Guards against a leader that forgets the deferrals which its predecessor had inherited. */
    @Test
    public void staysDeferredOverSecondTakeover() {
      JobSimulation simulation = fleet();
      final long arrives = simulation.now + DELAY_MILLIS;
      final JobSpec job = submitLate(simulation, DELAY_MILLIS, step(3, 2, List.of()));
      simulation.run(1_700);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
      changeLeader(simulation, 1_000);
      simulation.run(2_500);
      changeLeader(simulation, 1_000);
      assertCompleteAfterDuplicate(simulation, job, arrives);
    }

    /**
     * Guards against a next leader that loses inherited deferrals because it reads them before it
     * knows their worker.
     */
    @Test
    public void staysDeferredWhenWorkerIsListedLate() {
      JobSimulation simulation = fleet();
      final long arrives = simulation.now + DELAY_MILLIS;
      final JobSpec job = submitLate(simulation, DELAY_MILLIS, step(3, 2, List.of()));
      simulation.run(1_700);
      simulation.killLeader();
      simulation.run(1_000);
      simulation.workers.values().forEach(worker -> worker.dead = true);
      simulation.takeOver();
      simulation.workers.values().forEach(worker -> worker.dead = false);
      simulation.run(1_000);
      simulation
          .workers
          .values()
          .forEach(worker -> simulation.post(new JobEvent.WorkerSeen(worker.info)));
      assertCompleteAfterDuplicate(simulation, job, arrives);
    }

    /**
     * Guards against a leader that stores the learned text without the deferrals that it inherited.
     */
    @Test
    public void staysDeferredOverLeaderThatReachesNoWorker() {
      JobSimulation simulation = fleet();
      final long arrives = simulation.now + DELAY_MILLIS;
      final JobSpec job = submitLate(simulation, DELAY_MILLIS, step(3, 2, List.of()));
      simulation.run(1_700);
      simulation.killLeader();
      simulation.run(1_000);
      simulation.workers.values().forEach(worker -> worker.reachable = false);
      simulation.takeOver();
      final JobSpec other = JobFixtures.job("other", step(1, 2, List.of()));
      simulation.submit(other);
      simulation.post(new JobEvent.JobCancelled(other.id()));
      simulation.run(500);
      assertEquals(simulation.phase(other.id()), JobPhase.CANCELLED);
      changeLeader(simulation, 1_000);
      simulation.workers.values().forEach(worker -> worker.reachable = true);
      assertCompleteAfterDuplicate(simulation, job, arrives);
    }

    /**
     * Guards against completions that wait for a deferral which has expired and was acknowledged.
     */
    @Test
    public void defersNothingWhenAllIsAcknowledged() {
      JobSimulation simulation = fleet();
      simulation.submit(JobFixtures.job("before", step(3, 2, List.of())));
      simulation.run(2_000);
      assertEquals(acknowledged(simulation), 3);
      submitLate(simulation, DELAY_MILLIS, step(3, 2, List.of()));
      simulation.run(LateStart.LATEST_MILLIS + 1_000);
      assertEquals(acknowledged(simulation), 6);
      changeLeader(simulation, 1_000);
      simulation.submit(JobFixtures.job("after", step(3, 2, List.of())));
      simulation.run(2_000);
      assertEquals(acknowledged(simulation), 9);
    }

    private static long acknowledged(JobSimulation simulation) {
      return simulation.workers.values().stream()
          .mapToLong(SimulatedWorker::lastAcknowledgedCompletion)
          .sum();
    }

    /**
     * Guards against deferring completions that come before the first deferred one, and against
     * deferring any of them indefinitely.
     */
    @Test
    public void defersFromFirstDeferredUntilItExpires() {
      UnlistedDeferrals unlisted = new UnlistedDeferrals();
      WorkerIncarnation incarnation = new WorkerIncarnation(FIRST, 7);
      unlisted.inherit(Map.of(incarnation, 3L), LateStart.LATEST_MILLIS);
      DeferredAcknowledgements deferred = unlisted.remove(incarnation);
      deferred.listed(1);
      deferred.listed(2);
      assertEquals(deferred.acknowledgeable(2, 0), 2);
      deferred.listed(5);
      deferred.listed(6);
      assertEquals(deferred.acknowledgeable(6, 0), 4);
      assertEquals(deferred.acknowledgeable(6, LateStart.LATEST_MILLIS), 6);
    }

    /** Guards against deferrals that are forgotten with a worker that is not listed for a while. */
    @Test
    public void staysDeferredWhileWorkerIsNotListed() {
      JobSimulation simulation = fleet();
      final long arrives = simulation.now + DELAY_MILLIS;
      final JobSpec job = submitLate(simulation, DELAY_MILLIS, step(3, 2, List.of()));
      simulation.run(1_700);
      final SimulatedWorker first = simulation.workers.get(FIRST);
      simulation.post(new JobEvent.WorkerUnlisted(first.info.incarnation()));
      simulation.run(1_000);
      simulation.post(new JobEvent.WorkerSeen(first.info));
      assertCompleteAfterDuplicate(simulation, job, arrives);
    }
  }

  /**
   * Completions of earlier runs, whose acknowledgement is deferred while a later run goes on
   * elsewhere.
   */
  public static class Earlier {

    /**
     * Returns the worker whose run was done while it was unreachable, and is listed while a later
     * run is placed.
     */
    private static SimulatedWorker doneElsewhere(JobSimulation simulation, JobSpec job) {
      simulation.submit(job);
      simulation.run(200);
      SimulatedWorker first =
          simulation.workers.values().stream().filter(w -> w.count() > 0).findFirst().orElseThrow();
      first.reachable = false;
      simulation.workMillis = WORK_MILLIS + 10_000;
      simulation.run(11_000);
      simulation.lost = JobEffect.StopRun.class::isInstance;
      first.reachable = true;
      simulation.run(1_000);
      return first;
    }

    /**
     * Guards against an acknowledgement that is deferred indefinitely because its worker was not
     * listed for a while.
     */
    @Test
    public void acknowledgesCompletionOfWorkerThatWasNotListed() {
      JobSimulation simulation = fleet();
      final JobSpec job = JobFixtures.job("earlier", step(1, 2, List.of()));
      SimulatedWorker first = doneElsewhere(simulation, job);
      simulation.post(new JobEvent.WorkerUnlisted(first.info.incarnation()));
      simulation.run(500);
      simulation.lost = effect -> false;
      simulation.run(2_000);
      assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE);
      simulation.workMillis = 500;
      simulation.post(new JobEvent.WorkerSeen(first.info));
      simulation.run(60_000);
      assertEquals(first.lastAcknowledgedCompletion(), 1);
    }

    /** Guards against stored lines of incarnations that are gone. */
    @Test
    public void storesNothingOfIncarnationThatIsGone() {
      JobSimulation simulation = fleet();
      SimulatedWorker first =
          doneElsewhere(simulation, JobFixtures.job("earlier", step(1, 2, List.of())));
      simulation.crash(first);
      simulation.run(2_500);
      simulation.lost = effect -> false;
      simulation.workMillis = 500;
      simulation.run(60_000);
      simulation.effects.clear();
      simulation.submit(JobFixtures.job("more", step(1, 2, List.of())));
      simulation.run(5_000);
      List<String> texts =
          simulation.effects.stream()
              .filter(JobEffect.SaveProgress.class::isInstance)
              .map(effect -> ((JobEffect.SaveProgress) effect).learned())
              .filter(text -> !text.isEmpty())
              .toList();
      assertFalse(texts.isEmpty());
      assertFalse(texts.get(texts.size() - 1).contains("held "));
    }
  }

  /** Starts in doubt whose runs the next leader finds running or sees end. */
  public static class Found {

    /**
     * Duration of a run that is done while there is no leader, and of one that the next leader sees
     * end.
     */
    @DataProvider
    public Object[][] work() {
      return new Object[][] {{500}, {3_500}};
    }

    /**
     * Guards against a completion that the next leader acknowledges while a duplicate of its start
     * may arrive.
     */
    @Test(dataProvider = "work")
    public void rerunsNoDoneTaskWhenStartWasRepeated(long work) {
      JobSimulation simulation = fleet();
      simulation.workMillis = work;
      final long arrives = simulation.now + DELAY_MILLIS;
      final JobSpec job = submitLate(simulation, DELAY_MILLIS, step(3, 2, List.of()));
      simulation.run(1_100);
      assertEquals(simulation.workers.values().stream().mapToInt(SimulatedWorker::count).sum(), 3);
      changeLeader(simulation, 2_500);
      assertCompleteAfterDuplicate(simulation, job, arrives);
    }

    /** Times after the first start at which the leader is lost, in milliseconds. */
    @DataProvider
    public Object[][] lostAfter() {
      return LongStream.iterate(900, millis -> millis <= 2_400, millis -> millis + 50)
          .mapToObj(millis -> new Object[] {millis})
          .toArray(Object[][]::new);
    }

    /**
     * Guards against a moment at which neither the start in doubt nor the deferred acknowledgement
     * is stored.
     */
    @Test(dataProvider = "lostAfter")
    public void rerunsNoDoneTaskWheneverLeaderIsLost(long millis) {
      JobSimulation simulation = fleet();
      final long arrives = simulation.now + DELAY_MILLIS;
      final JobSpec job = submitLate(simulation, DELAY_MILLIS, step(3, 2, List.of()));
      simulation.run(millis);
      changeLeader(simulation, 2_500);
      assertCompleteAfterDuplicate(simulation, job, arrives);
    }

    /**
     * Guards against a completion that is acknowledged while the start of the previous run may
     * arrive.
     */
    @Test(dataProvider = "work")
    public void rerunsNoDoneTaskWhenEarlierStartIsInDoubt(long work) {
      JobSimulation simulation = fleet();
      simulation.workMillis = work;
      final long arrives = simulation.now + DELAY_MILLIS;
      final JobSpec job = submitLate(simulation, DELAY_MILLIS, step(3, 2, List.of()));
      crash(simulation);
      while (simulation.workers.get(FIRST).count() == 0) {
        simulation.run(10);
      }
      changeLeader(simulation, 2_500);
      assertCompleteAfterDuplicate(simulation, job, arrives);
    }

    /** Guards against a duplicate start that is sent before it is stored for the next leader. */
    @Test
    public void storesThatStartIsRepeatedBeforeItLeaves() {
      JobSimulation simulation = fleet();
      submitLate(simulation, DELAY_MILLIS, step(3, 2, List.of()));
      simulation.run(750);
      simulation.storeUnavailable = true;
      simulation.run(500);
      assertEquals(count(simulation, JobEffect.StartRun.class), 3);
      simulation.restoreStore();
      simulation.run(100);
      assertEquals(count(simulation, JobEffect.StartRun.class), 6);
    }

    /**
     * Guards against a run that may have begun and is forgotten while its repeated start is stored.
     */
    @Test
    public void stopsRunThatMayHaveBegunWhenItsWorkerLeaves() {
      JobSimulation simulation = fleet();
      submitLate(simulation, DELAY_MILLIS, step(3, 2, List.of()));
      simulation.run(750);
      simulation.storeUnavailable = true;
      simulation.run(500);
      simulation
          .workers
          .values()
          .forEach(worker -> simulation.post(JobSimulation.draining(worker)));
      simulation.restoreStore();
      simulation.run(200);
      assertEquals(count(simulation, JobEffect.StartRun.class), 3);
      assertEquals(count(simulation, JobEffect.StopRun.class), 3);
    }

    private static long count(JobSimulation simulation, Class<? extends JobEffect> kind) {
      return simulation.effects.stream().filter(kind::isInstance).count();
    }

    /**
     * Guards against a run that was found and lost, and starts elsewhere while a duplicate of its
     * start may arrive.
     */
    @Test
    public void runsNoTaskTwiceWhenFoundRunIsLost() {
      JobSimulation simulation = fleet();
      simulation.workMillis = WORK_MILLIS;
      final long arrives = simulation.now + DELAY_MILLIS;
      final JobSpec job = submitLate(simulation, DELAY_MILLIS, step(3, 2, List.of()));
      simulation.run(1_100);
      changeLeader(simulation, 2_500);
      simulation.run(500);
      simulation.listsCrashedWorkers = false;
      crash(simulation);
      simulation.run(RESTART_MILLIS);
      simulation.post(JobSimulation.draining(simulation.workers.get(FIRST)));
      simulation.run(1_000);
      simulation.listsCrashedWorkers = true;
      assertCompleteAfterDuplicate(simulation, job, arrives);
    }
  }
}
