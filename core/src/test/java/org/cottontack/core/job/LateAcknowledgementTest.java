package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.RESTART_MILLIS;
import static org.cottontack.core.job.JobFixtures.assertComplete;
import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.restartingFleet;
import static org.cottontack.core.job.JobFixtures.step;
import static org.cottontack.core.job.JobFixtures.submit;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of acknowledgements without an answer that reach a later life of their worker. */
public class LateAcknowledgementTest {

  /** How long before a late look a worker is back: too short for its leader to ask it. */
  private static final long BACK_BEFORE_MILLIS = 20;

  private static final WorkerId FIRST = new WorkerId("w0");

  private static JobSimulation fleet(int workers) {
    JobSimulation lab = restartingFleet(workers);
    lab.listsCrashedWorkers = true;
    lab.run(1_000);
    return lab;
  }

  private static boolean acknowledges(JobEffect effect) {
    return effect instanceof JobEffect.LookAtWorker look && look.acknowledged() > 0;
  }

  private static void awaitAcknowledgement(JobSimulation lab) {
    final long latest = lab.now + 60_000;
    while (lab.seen.stream().noneMatch(LateAcknowledgementTest::acknowledges)) {
      assertTrue(lab.now < latest, "no end is acknowledged");
      lab.run(10);
    }
  }

  /**
   * Has the first acknowledgement carried out so late, by a life that began just before it.
   *
   * @return jobs whose ends it named, and one that was running when the worker crashed
   */
  private static List<JobSpec> reachNextLife(JobSimulation lab, long delay) {
    final List<JobSpec> before = submit(lab, "before", 2);
    lab.delay = effect -> acknowledges(effect) ? delay : 0;
    awaitAcknowledgement(lab);
    lab.run(10);
    lab.delay = effect -> 0;
    lab.run(delay - 120 - BACK_BEFORE_MILLIS - RESTART_MILLIS);
    lab.workMillis = 10_000;
    final List<JobSpec> interrupted = submit(lab, "interrupted", 1);
    lab.run(100);
    lab.workMillis = 500;
    lab.crash(lab.workers.get(FIRST));
    return Stream.concat(before.stream(), interrupted.stream()).toList();
  }

  /** Ends of the next life. */
  public static class NextLife {

    /** Delays after which a look is carried out, in milliseconds. */
    @DataProvider
    public Object[][] lateBy() {
      return LongStream.iterate(2_500, d -> d <= LateStart.LATEST_MILLIS - 500, d -> d + 250)
          .mapToObj(delay -> new Object[] {delay})
          .toArray(Object[][]::new);
    }

    /** Guards against ends that a life never lists, whose tasks run again. */
    @Test(dataProvider = "lateBy")
    public void runsNothingAgainWhoseEndIsNotListed(long delay) {
      JobSimulation lab = fleet(1);
      final List<JobSpec> before = reachNextLife(lab, delay);
      lab.run(RESTART_MILLIS + 1_500);
      final List<JobSpec> after = submit(lab, "after", 4);
      lab.run(30_000);
      assertComplete(lab, before);
      assertComplete(lab, after);
    }

    /** Guards against the same where the leader changes before the next life is asked. */
    @Test(dataProvider = "lateBy")
    public void runsNothingAgainAfterTakeover(long delay) {
      JobSimulation lab = fleet(1);
      final List<JobSpec> before = reachNextLife(lab, delay);
      lab.killLeader();
      lab.run(RESTART_MILLIS + 1_500);
      lab.takeOver();
      final List<JobSpec> after = submit(lab, "after", 4);
      lab.run(30_000);
      assertComplete(lab, before);
      assertComplete(lab, after);
    }
  }

  /** Runs that are stopped while ends may not be listed. */
  public static class StoppedRuns {

    /** For how long no look at the worker is answered, in milliseconds. */
    private static final long UNSEEN_MILLIS = 1_000;

    /** Delays after which a stop or a start is carried out, in milliseconds. */
    @DataProvider
    public Object[][] lateBy() {
      return LongStream.iterate(50, d -> d <= LateStart.LATEST_MILLIS, d -> 2 * d)
          .mapToObj(delay -> new Object[] {delay})
          .toArray(Object[][]::new);
    }

    private static void assertDoneOnce(Predicate<JobEffect> late, long delay) {
      JobSimulation lab = fleet(1);
      final List<JobSpec> before = reachNextLife(lab, 3_000);
      AtomicLong sent = new AtomicLong();
      lab.delay =
          effect -> {
            if (late.test(effect) && sent.compareAndSet(0, lab.now)) {
              return delay;
            }
            boolean unseen = sent.get() > 0 && lab.now - sent.get() < UNSEEN_MILLIS;
            return unseen && effect instanceof JobEffect.LookAtWorker ? 2 * UNSEEN_MILLIS : 0;
          };
      final List<JobSpec> after = submit(lab, "after", 4);
      lab.run(40_000);
      assertComplete(lab, before);
      assertComplete(lab, after);
    }

    /** Guards against a run that is done since its stop is late, and whose task runs again. */
    @Test(dataProvider = "lateBy")
    public void runsNothingAgainWhoseStopIsLate(long delay) {
      assertDoneOnce(JobEffect.StopRun.class::isInstance, delay);
    }

    /** Guards against a run that begins late and is done before it is seen. */
    @Test(dataProvider = "lateBy")
    public void runsNothingAgainWhoseStartIsLate(long delay) {
      assertDoneOnce(JobEffect.StartRun.class::isInstance, delay);
    }

    private static Object[][] outages(long firstMillis, long lastMillis) {
      return LongStream.iterate(firstMillis, millis -> millis <= lastMillis, millis -> millis + 50)
          .boxed()
          .flatMap(
              millis ->
                  Stream.of(true, false)
                      .flatMap(
                          starts ->
                              Stream.of(true, false)
                                  .map(looks -> new Object[] {millis, starts, looks})))
          .toArray(Object[][]::new);
    }

    /** Outages that end before the run is done, with and without lost starts and late looks. */
    @DataProvider
    public Object[][] briefOutages() {
      return outages(100, 450);
    }

    private static void assertDoneOnceInOutage(long millis, boolean starts, boolean looks) {
      JobSimulation lab = fleet(1);
      final List<JobSpec> before = reachNextLife(lab, 3_000);
      AtomicLong began = new AtomicLong(Long.MAX_VALUE);
      Predicate<JobEffect> away =
          effect -> {
            if (effect instanceof JobEffect.StartRun) {
              began.compareAndSet(Long.MAX_VALUE, lab.now);
            }
            return lab.now >= began.get() && lab.now - began.get() < millis;
          };
      lab.lost =
          effect ->
              away.test(effect)
                  && (effect instanceof JobEffect.StopRun
                      || (starts && effect instanceof JobEffect.StartRun));
      lab.delay =
          effect ->
              looks && effect instanceof JobEffect.LookAtWorker && away.test(effect) ? 2_000 : 0;
      lab.run(RESTART_MILLIS + 1_500);
      final List<JobSpec> after = submit(lab, "after", 4);
      lab.run(40_000);
      assertComplete(lab, before);
      assertComplete(lab, after);
    }

    /** Guards against a run that is done since the first of its stops are lost. */
    @Test(dataProvider = "briefOutages")
    public void runsNothingAgainWhoseFirstStopsAreLost(long millis, boolean starts, boolean looks) {
      assertDoneOnceInOutage(millis, starts, looks);
    }

    /** Guards against a run that is done since all its stops are lost, and that begins again. */
    @Test
    public void runsNothingAgainWhoseStopsAreAllLost() {
      for (Object[] outage : outages(500, 3_000)) {
        assertDoneOnceInOutage((long) outage[0], (boolean) outage[1], (boolean) outage[2]);
      }
    }

    private static <T extends JobEffect> List<T> seen(JobSimulation lab, Class<T> kind) {
      return lab.seen.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    /** Returns the start or stop that comes next. */
    private static <T extends JobEffect> T next(JobSimulation lab, Class<T> kind) {
      int before = seen(lab, kind).size();
      for (int i = 0; i < 3_000 && seen(lab, kind).size() == before; i++) {
        lab.run(10);
      }
      return seen(lab, kind).get(before);
    }

    /** Guards against a run that was done, taken for stopped since the one before it was. */
    @Test
    public void runsNothingAgainWhoseStopWasForAnotherRun() {
      JobSimulation lab = fleet(1);
      final List<JobSpec> before = reachNextLife(lab, 3_000);
      lab.delay = effect -> effect instanceof JobEffect.StartRun ? 1_000 : 0;
      JobEffect.StartRun refused = next(lab, JobEffect.StartRun.class);
      lab.run(10);
      lab.delay = effect -> effect instanceof JobEffect.StopRun ? 900 : 0;
      lab.post(
          new JobEvent.StartEnded(
              refused.target().incarnation(), refused.run(), StartResult.NO_ROOM));
      lab.run(40_000);
      assertComplete(lab, before);
    }

    /** Guards against a run that was done, taken for stopped soon after a copy of its start. */
    @Test
    public void runsNothingAgainWhoseStartWasCopied() {
      JobSimulation lab = fleet(1);
      final List<JobSpec> before = reachNextLife(lab, 3_000);
      final int starts = seen(lab, JobEffect.StartRun.class).size();
      lab.lost = effect -> true;
      lab.delay =
          effect ->
              effect instanceof JobEffect.LookAtWorker
                      && seen(lab, JobEffect.StartRun.class).size() > starts
                  ? UNSEEN_MILLIS
                  : 0;
      next(lab, JobEffect.StartRun.class);
      lab.run(lab.workMillis);
      lab.delay = effect -> 0;
      next(lab, JobEffect.StartRun.class);
      lab.lost = effect -> false;
      lab.run(40_000);
      assertComplete(lab, before);
    }

    /** Guards against a run that goes on by a lease which a service there needed before. */
    @Test(dataProvider = "serviceEnds")
    public void runsNothingAgainWhereServiceHeldLease(long unlistedMillis) {
      JobSimulation lab = fleet(1);
      final List<JobSpec> before = reachNextLife(lab, 3_000);
      JobSpec service = job("service", step(1, 7, List.of(), StepSpec.Trait.LASTS));
      lab.workMillis = 600_000;
      lab.submit(service);
      lab.run(RESTART_MILLIS + 3_000);
      lab.workMillis = 500;
      lab.post(new JobEvent.JobCancelled(service.id()));
      lab.run(300);
      if (unlistedMillis > 0) {
        lab.post(new JobEvent.WorkerUnlisted(lab.workers.get(FIRST).info.incarnation()));
        lab.run(unlistedMillis);
        lab.post(new JobEvent.WorkerSeen(lab.workers.get(FIRST).info));
      }
      final List<JobSpec> after = submit(lab, "after", 1);
      next(lab, JobEffect.StartRun.class);
      lab.killLeader();
      lab.run(2_500);
      lab.takeOver();
      lab.run(40_000);
      assertComplete(lab, before);
      assertComplete(lab, after);
    }

    /** For how long the worker is not listed once the service has ended, in milliseconds. */
    @DataProvider
    public Object[][] serviceEnds() {
      return new Object[][] {{0L}, {500L}, {1_500L}};
    }

    /** Guards against a run that goes on by a lease which the leader before had on its way. */
    @Test
    public void runsNothingAgainWhereFormerLeadersLeaseCame() {
      JobSimulation lab = fleet(1);
      final long arrives = lab.now + 11_900;
      lab.delay = effect -> effect instanceof JobEffect.LookAtWorker ? 11_900 : 0;
      while (lab.seen.stream().noneMatch(StoppedRuns::leases) && lab.now < arrives) {
        lab.run(10);
      }
      lab.delay = effect -> 0;
      final long leaseArrives = lab.now + 11_900;
      lab.killLeader();
      lab.run(2_500);
      lab.takeOver();
      lab.run(2_000);
      final List<JobSpec> before = submit(lab, "before", 2);
      lab.delay = effect -> acknowledges(effect) ? leaseArrives + 10 - lab.now : 0;
      lab.seen.clear();
      next(lab, JobEffect.LookAtWorker.class);
      while (lab.seen.stream().noneMatch(LateAcknowledgementTest::acknowledges)) {
        lab.run(10);
      }
      lab.delay = effect -> 0;
      lab.run(leaseArrives - BACK_BEFORE_MILLIS - RESTART_MILLIS - lab.now);
      lab.crash(lab.workers.get(FIRST));
      lab.run(RESTART_MILLIS + 1_500);
      lab.lost = JobEffect.StopRun.class::isInstance;
      final List<JobSpec> after = submit(lab, "after", 1);
      lab.run(3_000);
      lab.lost = effect -> false;
      lab.run(40_000);
      assertComplete(lab, before);
      assertComplete(lab, after);
    }

    private static boolean leases(JobEffect effect) {
      return effect instanceof JobEffect.LookAtWorker look && look.leaseEndMillis() > 0;
    }

    /** Guards against a run that is done since its leader is lost before it can be stopped. */
    @Test(dataProvider = "leaderLost")
    public void runsNothingAgainWhoseLeaderIsLost(long afterMillis, long lostMillis) {
      JobSimulation lab = fleet(1);
      final List<JobSpec> before = reachNextLife(lab, 3_000);
      next(lab, JobEffect.StartRun.class);
      lab.run(afterMillis);
      lab.killLeader();
      lab.run(lostMillis);
      lab.takeOver();
      final List<JobSpec> after = submit(lab, "after", 4);
      lab.run(40_000);
      assertComplete(lab, before);
      assertComplete(lab, after);
    }

    /** When a leader is lost after a start, and when the next one takes over, in milliseconds. */
    @DataProvider
    public Object[][] leaderLost() {
      return LongStream.of(0, 10, 20, 30, 50, 100, 200)
          .boxed()
          .flatMap(after -> Stream.of(100L, 600L, 2_500L).map(lost -> new Object[] {after, lost}))
          .toArray(Object[][]::new);
    }
  }

  /** What the next leader knows. */
  public static class Takeover {

    /** Guards against next leaders that take such a life for one that lists all its ends. */
    @Test
    public void remembersLifeThatGotNoWork() {
      JobSimulation lab = fleet(1);
      reachNextLife(lab, 3_000);
      lab.evacuate("dc");
      lab.run(RESTART_MILLIS + 1_500);
      for (int i = 0; i < 2; i++) {
        lab.killLeader();
        lab.run(2_500);
        lab.takeOver();
        lab.run(200);
      }
      lab.evacuate();
      final List<JobSpec> after = submit(lab, "after", 4);
      lab.run(30_000);
      assertComplete(lab, after);
    }

    /** Guards against ends that are named late where the leader is lost with an idle worker. */
    @Test(dataProvider = "lateBy", dataProviderClass = NextLife.class)
    public void knowsLifeThatHeldNothing(long delay) {
      JobSimulation lab = fleet(1);
      final List<JobSpec> before = submit(lab, "before", 2);
      lab.delay = effect -> acknowledges(effect) ? delay : 0;
      awaitAcknowledgement(lab);
      lab.delay = effect -> 0;
      lab.run(delay - BACK_BEFORE_MILLIS - RESTART_MILLIS);
      lab.crash(lab.workers.get(FIRST));
      lab.killLeader();
      lab.run(2_500);
      lab.takeOver();
      final List<JobSpec> after = submit(lab, "after", 4);
      lab.run(30_000);
      assertComplete(lab, before);
      assertComplete(lab, after);
    }

    /** Guards against the same where nothing is left to save when ends are named at last. */
    @Test
    public void knowsLifeWhoseEndsWereHeld() {
      JobSimulation lab = fleet(1);
      lab.delay = effect -> effect instanceof JobEffect.StartRun ? 30_000 : 0;
      final List<JobSpec> before = submit(lab, "before", 1);
      lab.run(100);
      lab.delay = effect -> acknowledges(effect) ? 3_000 : 0;
      awaitAcknowledgement(lab);
      lab.delay = effect -> 0;
      lab.run(3_000 - BACK_BEFORE_MILLIS - RESTART_MILLIS);
      lab.crash(lab.workers.get(FIRST));
      lab.killLeader();
      lab.run(2_500);
      lab.takeOver();
      final List<JobSpec> after = submit(lab, "after", 4);
      lab.run(30_000);
      assertComplete(lab, before);
      assertComplete(lab, after);
    }

    /** Guards against a life that is forgotten between its first answer and its entry. */
    @Test
    public void remembersLifeThatIsNotListedYet() {
      JobSimulation lab = fleet(1);
      final List<JobSpec> before = submit(lab, "before", 2);
      lab.delay = effect -> acknowledges(effect) ? 6_000 : 0;
      awaitAcknowledgement(lab);
      lab.delay = effect -> 0;
      lab.killLeader();
      lab.run(2_500);
      lab.takeOver();
      lab.run(3_400 - BACK_BEFORE_MILLIS - RESTART_MILLIS);
      lab.workMillis = 10_000;
      final List<JobSpec> interrupted = submit(lab, "interrupted", 1);
      lab.run(100);
      lab.workMillis = 500;
      lab.crash(lab.workers.get(FIRST));
      lab.run(RESTART_MILLIS + 1_500);
      final List<JobSpec> after = submit(lab, "after", 4);
      lab.run(30_000);
      assertComplete(lab, before);
      assertComplete(lab, interrupted);
      assertComplete(lab, after);
    }
  }

  /** What it costs. */
  public static class Cost {

    /** Guards against stopped runs on workers that no acknowledgement can have reached. */
    @Test
    public void stopsNothingWhereNoneIsLate() {
      JobSimulation lab = fleet(1);
      submit(lab, "before", 2);
      lab.run(6_000);
      lab.crash(lab.workers.get(FIRST));
      lab.run(RESTART_MILLIS + 3_000);
      final List<JobSpec> after = submit(lab, "after", 2);
      lab.run(4_000);
      assertComplete(lab, after);
      assertTrue(lab.seen.stream().noneMatch(JobEffect.StopRun.class::isInstance));
    }

    /** Guards against a restarted worker that gets one task at a time for longer than needed. */
    @Test
    public void stopsOneRunWhereNoneArrived() {
      JobSimulation lab = fleet(1);
      final List<JobSpec> before = submit(lab, "before", 2);
      lab.delay = effect -> acknowledges(effect) ? 30_000 : 0;
      lab.run(700);
      lab.crash(lab.workers.get(FIRST));
      lab.delay = effect -> 0;
      lab.run(RESTART_MILLIS + 1_500);
      final List<JobSpec> after = submit(lab, "after", 4);
      lab.run(4_000);
      assertComplete(lab, before);
      assertComplete(lab, after);
      long stops = lab.seen.stream().filter(JobEffect.StopRun.class::isInstance).count();
      assertEquals(stops, 1);
    }

    /** Guards against a service that keeps all other work away for as long as it runs there. */
    @Test
    public void letsTasksBeginBesideService() {
      JobSimulation lab = fleet(1);
      reachNextLife(lab, 3_000);
      lab.workMillis = 600_000;
      lab.submit(job("service", step(1, 2, List.of(), StepSpec.Trait.LASTS)));
      lab.run(5_000);
      lab.workMillis = 500;
      final List<JobSpec> after = submit(lab, "after", 1);
      lab.run(60_000);
      assertComplete(lab, after);
    }

    /** Guards against a task that never begins where orders take longer than its lease. */
    @Test
    public void goesElsewhereWhereOrdersTakeTooLong() {
      JobSimulation lab = fleet(1);
      reachNextLife(lab, 3_000);
      lab.run(RESTART_MILLIS + 12_000);
      lab.oneWayDelayMillis = 250;
      final List<JobSpec> after = submit(lab, "after", 1);
      lab.run(3_000);
      SimulatedWorker second = new SimulatedWorker("w1", 8);
      lab.workers.put(second.info.id(), second);
      lab.post(new JobEvent.WorkerSeen(second.info));
      lab.run(20_000);
      assertComplete(lab, after);
    }

    /** Guards against looks without a pause, and no acknowledgement, while renewals fail. */
    @Test
    public void looksNoMoreOftenWhileStoreIsAway() {
      JobSimulation lab = fleet(1);
      lab.submit(job("short", step(1, 2, List.of())));
      lab.run(100);
      lab.workMillis = 20_000;
      lab.submit(job("long", step(1, 2, List.of())));
      lab.delay = effect -> acknowledges(effect) ? 11_000 : 0;
      while (lab.seen.stream().noneMatch(LateAcknowledgementTest::acknowledges)) {
        lab.run(10);
      }
      lab.longestWaitMillis = 1_000;
      lab.storeUnavailable = true;
      lab.run(2_600);
      lab.delay = effect -> 0;
      lab.seen.clear();
      lab.run(1_000);
      assertTrue(lab.seen.stream().filter(JobEffect.LookAtWorker.class::isInstance).count() <= 25);
      assertEquals(lab.workers.get(FIRST).lastAcknowledgedCompletion(), 1);
    }

    /** Guards against acknowledgements that are repeated with nothing to forget. */
    @Test
    public void namesNoEndsWhereNoneAreListed() {
      JobSimulation lab = fleet(1);
      submit(lab, "before", 2);
      lab.run(3_000);
      lab.seen.clear();
      lab.run(20_000);
      assertFalse(lab.seen.stream().anyMatch(LateAcknowledgementTest::acknowledges));
    }
  }
}
