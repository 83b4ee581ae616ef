package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.RESTART_MILLIS;
import static org.cottontack.core.job.JobFixtures.step;
import static org.cottontack.core.job.LateStartTest.FIRST;
import static org.cottontack.core.job.LateStartTest.backJustBefore;
import static org.cottontack.core.job.LateStartTest.crash;
import static org.cottontack.core.job.LateStartTest.fleet;
import static org.cottontack.core.job.LateStartTest.submitLate;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of held ends and starts in doubt when their leader is lost, or the entry of their worker.
 */
public class DeferredAcknowledgementsTest {

  private static final long DELAY_MILLIS = 10_000;
  private static final long WORK_MILLIS = 20_000;

  private static void changeLeader(JobSimulation lab, long withoutMillis) {
    lab.leaderDies();
    lab.run(withoutMillis);
    lab.takeOver();
  }

  private static void assertCompleteAfterCopy(JobSimulation lab, JobSpec job, long arrivesMillis) {
    backJustBefore(lab, arrivesMillis);
    lab.run(60_000);
    assertEquals(lab.phase(job.id()), JobPhase.COMPLETE);
  }

  /** Ends that are held and stored. */
  public static class Stored {

    /** Guards against a leader that forgets what its predecessor had from an earlier one. */
    @Test
    public void staysHeldOverSecondTakeover() {
      JobSimulation lab = fleet();
      final long arrives = lab.now + DELAY_MILLIS;
      final JobSpec job = submitLate(lab, DELAY_MILLIS, step(3, 2, List.of()));
      lab.run(1_700);
      assertEquals(lab.phase(job.id()), JobPhase.COMPLETE);
      changeLeader(lab, 1_000);
      lab.run(2_500);
      changeLeader(lab, 1_000);
      assertCompleteAfterCopy(lab, job, arrives);
    }

    /** Guards against a next leader that is told of held ends before it knows their worker. */
    @Test
    public void staysHeldWhereWorkerIsListedLate() {
      JobSimulation lab = fleet();
      final long arrives = lab.now + DELAY_MILLIS;
      final JobSpec job = submitLate(lab, DELAY_MILLIS, step(3, 2, List.of()));
      lab.run(1_700);
      lab.leaderDies();
      lab.run(1_000);
      lab.workers.values().forEach(worker -> worker.dead = true);
      lab.takeOver();
      lab.workers.values().forEach(worker -> worker.dead = false);
      lab.run(1_000);
      lab.workers.values().forEach(worker -> lab.post(new JobEvent.WorkerSeen(worker.info)));
      assertCompleteAfterCopy(lab, job, arrives);
    }

    /** Guards against a leader that stores what it has learned and leaves out what it inherited. */
    @Test
    public void staysHeldOverLeaderThatHearsNoWorker() {
      JobSimulation lab = fleet();
      final long arrives = lab.now + DELAY_MILLIS;
      final JobSpec job = submitLate(lab, DELAY_MILLIS, step(3, 2, List.of()));
      lab.run(1_700);
      lab.leaderDies();
      lab.run(1_000);
      lab.workers.values().forEach(worker -> worker.reachable = false);
      lab.takeOver();
      final JobSpec other = JobFixtures.job("other", step(1, 2, List.of()));
      lab.submit(other);
      lab.post(new JobEvent.JobCancelled(other.id()));
      lab.run(500);
      assertEquals(lab.phase(other.id()), JobPhase.CANCELLED);
      changeLeader(lab, 1_000);
      lab.workers.values().forEach(worker -> worker.reachable = true);
      assertCompleteAfterCopy(lab, job, arrives);
    }

    /** Guards against workers whose ends wait for what was held, and acknowledged, before. */
    @Test
    public void holdsNothingWhereAllIsAcknowledged() {
      JobSimulation lab = fleet();
      lab.submit(JobFixtures.job("before", step(3, 2, List.of())));
      lab.run(2_000);
      assertEquals(acknowledged(lab), 3);
      submitLate(lab, DELAY_MILLIS, step(3, 2, List.of()));
      lab.run(LateStart.LATEST_MILLIS + 1_000);
      assertEquals(acknowledged(lab), 6);
      changeLeader(lab, 1_000);
      lab.submit(JobFixtures.job("after", step(3, 2, List.of())));
      lab.run(2_000);
      assertEquals(acknowledged(lab), 9);
    }

    private static long acknowledged(JobSimulation lab) {
      return lab.workers.values().stream().mapToLong(SimulatedWorker::acknowledgedEnds).sum();
    }

    /** Guards against ends held back that come before the held ones, or for ever. */
    @Test
    public void holdsFromFirstHeldOnUntilItExpires() {
      UnlistedDeferrals lives = new UnlistedDeferrals();
      WorkerIncarnation life = new WorkerIncarnation(FIRST, 7);
      lives.inherit(Map.of(life, 3L), LateStart.LATEST_MILLIS);
      DeferredAcknowledgements held = lives.remove(life);
      held.listed(1);
      held.listed(2);
      assertEquals(held.acknowledgeable(2, 0), 2);
      held.listed(5);
      held.listed(6);
      assertEquals(held.acknowledgeable(6, 0), 4);
      assertEquals(held.acknowledgeable(6, LateStart.LATEST_MILLIS), 6);
    }

    /** Guards against held ends that are forgotten with a worker that is not listed for a while. */
    @Test
    public void staysHeldWhileWorkerIsNotListed() {
      JobSimulation lab = fleet();
      final long arrives = lab.now + DELAY_MILLIS;
      final JobSpec job = submitLate(lab, DELAY_MILLIS, step(3, 2, List.of()));
      lab.run(1_700);
      final SimulatedWorker first = lab.workers.get(FIRST);
      lab.post(new JobEvent.WorkerUnlisted(first.info.incarnation()));
      lab.run(1_000);
      lab.post(new JobEvent.WorkerSeen(first.info));
      assertCompleteAfterCopy(lab, job, arrives);
    }
  }

  /** Ends of earlier runs, held while a later run goes on elsewhere. */
  public static class Earlier {

    /** Returns the worker whose run was done unseen and is listed beside a later run. */
    private static SimulatedWorker doneElsewhere(JobSimulation lab, JobSpec job) {
      lab.submit(job);
      lab.run(200);
      SimulatedWorker first =
          lab.workers.values().stream().filter(w -> w.count() > 0).findFirst().orElseThrow();
      first.reachable = false;
      lab.workMillis = WORK_MILLIS + 10_000;
      lab.run(11_000);
      lab.lost = JobEffect.StopRun.class::isInstance;
      first.reachable = true;
      lab.run(1_000);
      return first;
    }

    /** Guards against an end that is held for ever since its worker was not listed for a while. */
    @Test
    public void acknowledgesEndOfWorkerThatWasNotListed() {
      JobSimulation lab = fleet();
      final JobSpec job = JobFixtures.job("earlier", step(1, 2, List.of()));
      SimulatedWorker first = doneElsewhere(lab, job);
      lab.post(new JobEvent.WorkerUnlisted(first.info.incarnation()));
      lab.run(500);
      lab.lost = effect -> false;
      lab.run(2_000);
      assertEquals(lab.phase(job.id()), JobPhase.COMPLETE);
      lab.workMillis = 500;
      lab.post(new JobEvent.WorkerSeen(first.info));
      lab.run(60_000);
      assertEquals(first.acknowledgedEnds(), 1);
    }

    /** Guards against stored lines of lives that are gone. */
    @Test
    public void storesNothingOfLifeThatIsGone() {
      JobSimulation lab = fleet();
      SimulatedWorker first = doneElsewhere(lab, JobFixtures.job("earlier", step(1, 2, List.of())));
      lab.crash(first);
      lab.run(2_500);
      lab.lost = effect -> false;
      lab.workMillis = 500;
      lab.run(60_000);
      lab.seen.clear();
      lab.submit(JobFixtures.job("more", step(1, 2, List.of())));
      lab.run(5_000);
      List<String> texts =
          lab.seen.stream()
              .filter(JobEffect.SaveProgress.class::isInstance)
              .map(effect -> ((JobEffect.SaveProgress) effect).learned())
              .filter(text -> !text.isEmpty())
              .toList();
      assertFalse(texts.isEmpty());
      assertFalse(texts.get(texts.size() - 1).contains("held "));
    }
  }

  /** Starts in doubt whose runs the next leader finds, or sees end. */
  public static class Found {

    /** Work that is done while there is no leader, and work that the next one sees. */
    @DataProvider
    public Object[][] work() {
      return new Object[][] {{500}, {3_500}};
    }

    /** Guards against an end acknowledged by the next leader while a copy of its start may come. */
    @Test(dataProvider = "work")
    public void runsNothingDoneWhereStartWasRepeated(long work) {
      JobSimulation lab = fleet();
      lab.workMillis = work;
      final long arrives = lab.now + DELAY_MILLIS;
      final JobSpec job = submitLate(lab, DELAY_MILLIS, step(3, 2, List.of()));
      lab.run(1_100);
      assertEquals(lab.workers.values().stream().mapToInt(SimulatedWorker::count).sum(), 3);
      changeLeader(lab, 2_500);
      assertCompleteAfterCopy(lab, job, arrives);
    }

    /** Times after the first start at which the leader is lost, in milliseconds. */
    @DataProvider
    public Object[][] lostAfter() {
      return LongStream.iterate(900, millis -> millis <= 2_400, millis -> millis + 50)
          .mapToObj(millis -> new Object[] {millis})
          .toArray(Object[][]::new);
    }

    /** Guards against a moment in which neither the start in doubt is stored nor the held end. */
    @Test(dataProvider = "lostAfter")
    public void runsNothingDoneWheneverLeaderIsLost(long millis) {
      JobSimulation lab = fleet();
      final long arrives = lab.now + DELAY_MILLIS;
      final JobSpec job = submitLate(lab, DELAY_MILLIS, step(3, 2, List.of()));
      lab.run(millis);
      changeLeader(lab, 2_500);
      assertCompleteAfterCopy(lab, job, arrives);
    }

    /** Guards against an end acknowledged while the start of the run before may come. */
    @Test(dataProvider = "work")
    public void runsNothingDoneWhereEarlierStartIsInDoubt(long work) {
      JobSimulation lab = fleet();
      lab.workMillis = work;
      final long arrives = lab.now + DELAY_MILLIS;
      final JobSpec job = submitLate(lab, DELAY_MILLIS, step(3, 2, List.of()));
      crash(lab);
      while (lab.workers.get(FIRST).count() == 0) {
        lab.run(10);
      }
      changeLeader(lab, 2_500);
      assertCompleteAfterCopy(lab, job, arrives);
    }

    /** Guards against a copy that leaves unknown to the next leader. */
    @Test
    public void storesThatStartIsRepeatedBeforeItLeaves() {
      JobSimulation lab = fleet();
      submitLate(lab, DELAY_MILLIS, step(3, 2, List.of()));
      lab.run(750);
      lab.storeAway = true;
      lab.run(500);
      assertEquals(count(lab, JobEffect.StartRun.class), 3);
      lab.storeBack();
      lab.run(100);
      assertEquals(count(lab, JobEffect.StartRun.class), 6);
    }

    /** Guards against a run that may have begun and is forgotten while a repeat is stored. */
    @Test
    public void stopsWhatMayHaveBegunWhereItsWorkerLeavesMeanwhile() {
      JobSimulation lab = fleet();
      submitLate(lab, DELAY_MILLIS, step(3, 2, List.of()));
      lab.run(750);
      lab.storeAway = true;
      lab.run(500);
      lab.workers.values().forEach(worker -> lab.post(JobSimulation.draining(worker)));
      lab.storeBack();
      lab.run(200);
      assertEquals(count(lab, JobEffect.StartRun.class), 3);
      assertEquals(count(lab, JobEffect.StopRun.class), 3);
    }

    private static long count(JobSimulation lab, Class<? extends JobEffect> kind) {
      return lab.seen.stream().filter(kind::isInstance).count();
    }

    /** Guards against a found run that, lost, starts elsewhere beside a copy of its start. */
    @Test
    public void runsNoTaskTwiceWhereFoundRunIsLost() {
      JobSimulation lab = fleet();
      lab.workMillis = WORK_MILLIS;
      final long arrives = lab.now + DELAY_MILLIS;
      final JobSpec job = submitLate(lab, DELAY_MILLIS, step(3, 2, List.of()));
      lab.run(1_100);
      changeLeader(lab, 2_500);
      lab.run(500);
      lab.listsTheDead = false;
      crash(lab);
      lab.run(RESTART_MILLIS);
      lab.post(JobSimulation.draining(lab.workers.get(FIRST)));
      lab.run(1_000);
      lab.listsTheDead = true;
      assertCompleteAfterCopy(lab, job, arrives);
    }
  }
}
