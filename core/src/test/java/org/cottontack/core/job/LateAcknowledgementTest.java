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

/** Tests of acknowledgements without an answer that reach a later incarnation of their worker. */
public class LateAcknowledgementTest {

  /**
   * Time between a worker's restart and the arrival of a late poll, in milliseconds: too short for
   * its leader to poll it.
   */
  private static final long BACK_BEFORE_MILLIS = 20;

  private static final WorkerId FIRST = new WorkerId("w0");

  private static JobSimulation fleet(int workers) {
    JobSimulation simulation = restartingFleet(workers);
    simulation.listsCrashedWorkers = true;
    simulation.run(1_000);
    return simulation;
  }

  private static boolean acknowledges(JobEffect effect) {
    return effect instanceof JobEffect.LookAtWorker poll && poll.acknowledged() > 0;
  }

  private static void awaitAcknowledgement(JobSimulation simulation) {
    final long latest = simulation.now + 60_000;
    while (simulation.effects.stream().noneMatch(LateAcknowledgementTest::acknowledges)) {
      assertTrue(simulation.now < latest, "no completion is acknowledged");
      simulation.run(10);
    }
  }

  /**
   * Delays the first acknowledgement, so that it reaches an incarnation that started just before.
   *
   * @return jobs whose completions it acknowledged, and one that was running when the worker
   *     crashed
   */
  private static List<JobSpec> reachNextIncarnation(JobSimulation simulation, long delay) {
    final List<JobSpec> before = submit(simulation, "before", 2);
    simulation.delay = effect -> acknowledges(effect) ? delay : 0;
    awaitAcknowledgement(simulation);
    simulation.run(10);
    simulation.delay = effect -> 0;
    simulation.run(delay - 120 - BACK_BEFORE_MILLIS - RESTART_MILLIS);
    simulation.workMillis = 10_000;
    final List<JobSpec> interrupted = submit(simulation, "interrupted", 1);
    simulation.run(100);
    simulation.workMillis = 500;
    simulation.crash(simulation.workers.get(FIRST));
    return Stream.concat(before.stream(), interrupted.stream()).toList();
  }

  /** Completions of the next incarnation. */
  public static class NextIncarnation {

    /** Delays after which a poll is carried out, in milliseconds. */
    @DataProvider
    public Object[][] lateBy() {
      return LongStream.iterate(2_500, d -> d <= LateStart.LATEST_MILLIS - 500, d -> d + 250)
          .mapToObj(delay -> new Object[] {delay})
          .toArray(Object[][]::new);
    }

    /**
     * Guards against completions that an incarnation never lists, so that their tasks run again.
     */
    @Test(dataProvider = "lateBy")
    public void runsNothingAgainWhoseCompletionIsNotListed(long delay) {
      JobSimulation simulation = fleet(1);
      final List<JobSpec> before = reachNextIncarnation(simulation, delay);
      simulation.run(RESTART_MILLIS + 1_500);
      final List<JobSpec> after = submit(simulation, "after", 4);
      simulation.run(30_000);
      assertComplete(simulation, before);
      assertComplete(simulation, after);
    }

    /**
     * Guards against the same failure when the leader changes before the next incarnation is
     * polled.
     */
    @Test(dataProvider = "lateBy")
    public void runsNothingAgainAfterTakeover(long delay) {
      JobSimulation simulation = fleet(1);
      final List<JobSpec> before = reachNextIncarnation(simulation, delay);
      simulation.killLeader();
      simulation.run(RESTART_MILLIS + 1_500);
      simulation.takeOver();
      final List<JobSpec> after = submit(simulation, "after", 4);
      simulation.run(30_000);
      assertComplete(simulation, before);
      assertComplete(simulation, after);
    }
  }

  /** Runs that are stopped while completions may be suppressed. */
  public static class StoppedRuns {

    /** For how long no poll of the worker is answered, in milliseconds. */
    private static final long UNANSWERED_MILLIS = 1_000;

    /** Delays after which a stop or a start is carried out, in milliseconds. */
    @DataProvider
    public Object[][] lateBy() {
      return LongStream.iterate(50, d -> d <= LateStart.LATEST_MILLIS, d -> 2 * d)
          .mapToObj(delay -> new Object[] {delay})
          .toArray(Object[][]::new);
    }

    private static void assertDoneOnce(Predicate<JobEffect> late, long delay) {
      JobSimulation simulation = fleet(1);
      final List<JobSpec> before = reachNextIncarnation(simulation, 3_000);
      AtomicLong sent = new AtomicLong();
      simulation.delay =
          effect -> {
            if (late.test(effect) && sent.compareAndSet(0, simulation.now)) {
              return delay;
            }
            boolean unanswered = sent.get() > 0 && simulation.now - sent.get() < UNANSWERED_MILLIS;
            return unanswered && effect instanceof JobEffect.LookAtWorker
                ? 2 * UNANSWERED_MILLIS
                : 0;
          };
      final List<JobSpec> after = submit(simulation, "after", 4);
      simulation.run(40_000);
      assertComplete(simulation, before);
      assertComplete(simulation, after);
    }

    /** Guards against a run that is done because its stop is late, so that its task runs again. */
    @Test(dataProvider = "lateBy")
    public void runsNothingAgainWhoseStopIsLate(long delay) {
      assertDoneOnce(JobEffect.StopRun.class::isInstance, delay);
    }

    /** Guards against a run that begins late and is done before it is listed. */
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
                          lostStarts ->
                              Stream.of(true, false)
                                  .map(latePolls -> new Object[] {millis, lostStarts, latePolls})))
          .toArray(Object[][]::new);
    }

    /** Outages that end before the run is done, with and without lost starts and late polls. */
    @DataProvider
    public Object[][] shortOutages() {
      return outages(100, 450);
    }

    private static void assertDoneOnceInOutage(long millis, boolean lostStarts, boolean latePolls) {
      JobSimulation simulation = fleet(1);
      final List<JobSpec> before = reachNextIncarnation(simulation, 3_000);
      AtomicLong began = new AtomicLong(Long.MAX_VALUE);
      Predicate<JobEffect> duringOutage =
          effect -> {
            if (effect instanceof JobEffect.StartRun) {
              began.compareAndSet(Long.MAX_VALUE, simulation.now);
            }
            return simulation.now >= began.get() && simulation.now - began.get() < millis;
          };
      simulation.lost =
          effect ->
              duringOutage.test(effect)
                  && (effect instanceof JobEffect.StopRun
                      || (lostStarts && effect instanceof JobEffect.StartRun));
      simulation.delay =
          effect ->
              latePolls && effect instanceof JobEffect.LookAtWorker && duringOutage.test(effect)
                  ? 2_000
                  : 0;
      simulation.run(RESTART_MILLIS + 1_500);
      final List<JobSpec> after = submit(simulation, "after", 4);
      simulation.run(40_000);
      assertComplete(simulation, before);
      assertComplete(simulation, after);
    }

    /** Guards against a run that is done because the first of its stops are lost. */
    @Test(dataProvider = "shortOutages")
    public void runsNothingAgainWhoseFirstStopsAreLost(
        long millis, boolean lostStarts, boolean latePolls) {
      assertDoneOnceInOutage(millis, lostStarts, latePolls);
    }

    /** Guards against a run that is done because all its stops are lost, and that begins again. */
    @Test
    public void runsNothingAgainWhoseStopsAreAllLost() {
      for (Object[] outage : outages(500, 3_000)) {
        assertDoneOnceInOutage((long) outage[0], (boolean) outage[1], (boolean) outage[2]);
      }
    }

    private static <T extends JobEffect> List<T> seen(JobSimulation simulation, Class<T> kind) {
      return simulation.effects.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    /** Returns the next effect of a kind. */
    private static <T extends JobEffect> T next(JobSimulation simulation, Class<T> kind) {
      int before = seen(simulation, kind).size();
      for (int i = 0; i < 3_000 && seen(simulation, kind).size() == before; i++) {
        simulation.run(10);
      }
      return seen(simulation, kind).get(before);
    }

    /**
     * Guards against a run that was done but counts as stopped because the run before it was
     * stopped.
     */
    @Test
    public void runsNothingAgainWhoseStopWasForAnotherRun() {
      JobSimulation simulation = fleet(1);
      final List<JobSpec> before = reachNextIncarnation(simulation, 3_000);
      simulation.delay = effect -> effect instanceof JobEffect.StartRun ? 1_000 : 0;
      JobEffect.StartRun refused = next(simulation, JobEffect.StartRun.class);
      simulation.run(10);
      simulation.delay = effect -> effect instanceof JobEffect.StopRun ? 900 : 0;
      simulation.post(
          new JobEvent.StartEnded(
              refused.target().incarnation(), refused.run(), StartResult.NO_ROOM));
      simulation.run(40_000);
      assertComplete(simulation, before);
    }

    /**
     * Guards against a run that was done but counts as stopped soon after a duplicate of its start.
     */
    @Test
    public void runsNothingAgainWhoseStartWasDuplicated() {
      JobSimulation simulation = fleet(1);
      final List<JobSpec> before = reachNextIncarnation(simulation, 3_000);
      final int startsBefore = seen(simulation, JobEffect.StartRun.class).size();
      simulation.lost = effect -> true;
      simulation.delay =
          effect ->
              effect instanceof JobEffect.LookAtWorker
                      && seen(simulation, JobEffect.StartRun.class).size() > startsBefore
                  ? UNANSWERED_MILLIS
                  : 0;
      next(simulation, JobEffect.StartRun.class);
      simulation.run(simulation.workMillis);
      simulation.delay = effect -> 0;
      next(simulation, JobEffect.StartRun.class);
      simulation.lost = effect -> false;
      simulation.run(40_000);
      assertComplete(simulation, before);
    }

    /**
     * Guards against a short-lease run that continues because of a lease which a service there
     * needed before.
     */
    @Test(dataProvider = "serviceEnds")
    public void runsNothingAgainWhereServiceHeldLease(long unlistedMillis) {
      JobSimulation simulation = fleet(1);
      final List<JobSpec> before = reachNextIncarnation(simulation, 3_000);
      JobSpec service = job("service", step(1, 7, List.of(), StepSpec.Trait.LASTS));
      simulation.workMillis = 600_000;
      simulation.submit(service);
      simulation.run(RESTART_MILLIS + 3_000);
      simulation.workMillis = 500;
      simulation.post(new JobEvent.JobCancelled(service.id()));
      simulation.run(300);
      if (unlistedMillis > 0) {
        simulation.post(
            new JobEvent.WorkerUnlisted(simulation.workers.get(FIRST).info.incarnation()));
        simulation.run(unlistedMillis);
        simulation.post(new JobEvent.WorkerSeen(simulation.workers.get(FIRST).info));
      }
      final List<JobSpec> after = submit(simulation, "after", 1);
      next(simulation, JobEffect.StartRun.class);
      simulation.killLeader();
      simulation.run(2_500);
      simulation.takeOver();
      simulation.run(40_000);
      assertComplete(simulation, before);
      assertComplete(simulation, after);
    }

    /** For how long the worker is not listed once the service has ended, in milliseconds. */
    @DataProvider
    public Object[][] serviceEnds() {
      return new Object[][] {{0L}, {500L}, {1_500L}};
    }

    /**
     * Guards against a short-lease run that continues because of a lease which the previous leader
     * had in flight.
     */
    @Test
    public void runsNothingAgainWhenFormerLeadersLeaseArrives() {
      JobSimulation simulation = fleet(1);
      final long arrives = simulation.now + 11_900;
      simulation.delay = effect -> effect instanceof JobEffect.LookAtWorker ? 11_900 : 0;
      while (simulation.effects.stream().noneMatch(StoppedRuns::leases)
          && simulation.now < arrives) {
        simulation.run(10);
      }
      simulation.delay = effect -> 0;
      final long leaseArrives = simulation.now + 11_900;
      simulation.killLeader();
      simulation.run(2_500);
      simulation.takeOver();
      simulation.run(2_000);
      final List<JobSpec> before = submit(simulation, "before", 2);
      simulation.delay = effect -> acknowledges(effect) ? leaseArrives + 10 - simulation.now : 0;
      simulation.effects.clear();
      next(simulation, JobEffect.LookAtWorker.class);
      while (simulation.effects.stream().noneMatch(LateAcknowledgementTest::acknowledges)) {
        simulation.run(10);
      }
      simulation.delay = effect -> 0;
      simulation.run(leaseArrives - BACK_BEFORE_MILLIS - RESTART_MILLIS - simulation.now);
      simulation.crash(simulation.workers.get(FIRST));
      simulation.run(RESTART_MILLIS + 1_500);
      simulation.lost = JobEffect.StopRun.class::isInstance;
      final List<JobSpec> after = submit(simulation, "after", 1);
      simulation.run(3_000);
      simulation.lost = effect -> false;
      simulation.run(40_000);
      assertComplete(simulation, before);
      assertComplete(simulation, after);
    }

    private static boolean leases(JobEffect effect) {
      return effect instanceof JobEffect.LookAtWorker poll && poll.leaseEndMillis() > 0;
    }

    /** Guards against a run that is done because its leader is lost before it can stop the run. */
    @Test(dataProvider = "leaderLost")
    public void runsNothingAgainWhoseLeaderIsLost(long afterMillis, long lostMillis) {
      JobSimulation simulation = fleet(1);
      final List<JobSpec> before = reachNextIncarnation(simulation, 3_000);
      next(simulation, JobEffect.StartRun.class);
      simulation.run(afterMillis);
      simulation.killLeader();
      simulation.run(lostMillis);
      simulation.takeOver();
      final List<JobSpec> after = submit(simulation, "after", 4);
      simulation.run(40_000);
      assertComplete(simulation, before);
      assertComplete(simulation, after);
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

  /** State that the next leader inherits. */
  public static class Takeover {

    /** Guards against next leaders that do not know of suppressed completions. */
    @Test
    public void remembersIncarnationThatGotNoWork() {
      JobSimulation simulation = fleet(1);
      reachNextIncarnation(simulation, 3_000);
      simulation.evacuate("dc");
      simulation.run(RESTART_MILLIS + 1_500);
      for (int i = 0; i < 2; i++) {
        simulation.killLeader();
        simulation.run(2_500);
        simulation.takeOver();
        simulation.run(200);
      }
      simulation.evacuate();
      final List<JobSpec> after = submit(simulation, "after", 4);
      simulation.run(30_000);
      assertComplete(simulation, after);
    }

    /**
     * Guards against completions that are acknowledged late when the leader is lost together with
     * an idle worker.
     */
    @Test(dataProvider = "lateBy", dataProviderClass = NextIncarnation.class)
    public void remembersIdleIncarnation(long delay) {
      JobSimulation simulation = fleet(1);
      final List<JobSpec> before = submit(simulation, "before", 2);
      simulation.delay = effect -> acknowledges(effect) ? delay : 0;
      awaitAcknowledgement(simulation);
      simulation.delay = effect -> 0;
      simulation.run(delay - BACK_BEFORE_MILLIS - RESTART_MILLIS);
      simulation.crash(simulation.workers.get(FIRST));
      simulation.killLeader();
      simulation.run(2_500);
      simulation.takeOver();
      final List<JobSpec> after = submit(simulation, "after", 4);
      simulation.run(30_000);
      assertComplete(simulation, before);
      assertComplete(simulation, after);
    }

    /**
     * Guards against the same failure when nothing is left to save at the time of the deferred
     * acknowledgement.
     */
    @Test
    public void remembersIncarnationWithDeferredAcknowledgements() {
      JobSimulation simulation = fleet(1);
      simulation.delay = effect -> effect instanceof JobEffect.StartRun ? 30_000 : 0;
      final List<JobSpec> before = submit(simulation, "before", 1);
      simulation.run(100);
      simulation.delay = effect -> acknowledges(effect) ? 3_000 : 0;
      awaitAcknowledgement(simulation);
      simulation.delay = effect -> 0;
      simulation.run(3_000 - BACK_BEFORE_MILLIS - RESTART_MILLIS);
      simulation.crash(simulation.workers.get(FIRST));
      simulation.killLeader();
      simulation.run(2_500);
      simulation.takeOver();
      final List<JobSpec> after = submit(simulation, "after", 4);
      simulation.run(30_000);
      assertComplete(simulation, before);
      assertComplete(simulation, after);
    }

    /** Guards against an incarnation that is forgotten between its first answer and its entry. */
    @Test
    public void remembersIncarnationThatIsNotListedYet() {
      JobSimulation simulation = fleet(1);
      final List<JobSpec> before = submit(simulation, "before", 2);
      simulation.delay = effect -> acknowledges(effect) ? 6_000 : 0;
      awaitAcknowledgement(simulation);
      simulation.delay = effect -> 0;
      simulation.killLeader();
      simulation.run(2_500);
      simulation.takeOver();
      simulation.run(3_400 - BACK_BEFORE_MILLIS - RESTART_MILLIS);
      simulation.workMillis = 10_000;
      final List<JobSpec> interrupted = submit(simulation, "interrupted", 1);
      simulation.run(100);
      simulation.workMillis = 500;
      simulation.crash(simulation.workers.get(FIRST));
      simulation.run(RESTART_MILLIS + 1_500);
      final List<JobSpec> after = submit(simulation, "after", 4);
      simulation.run(30_000);
      assertComplete(simulation, before);
      assertComplete(simulation, interrupted);
      assertComplete(simulation, after);
    }
  }

  /** Costs of the restrictions. */
  public static class Cost {

    /** Guards against stopping runs on workers that no acknowledgement can have reached. */
    @Test
    public void stopsNothingWhereNoneIsLate() {
      JobSimulation simulation = fleet(1);
      submit(simulation, "before", 2);
      simulation.run(6_000);
      simulation.crash(simulation.workers.get(FIRST));
      simulation.run(RESTART_MILLIS + 3_000);
      final List<JobSpec> after = submit(simulation, "after", 2);
      simulation.run(4_000);
      assertComplete(simulation, after);
      assertTrue(simulation.effects.stream().noneMatch(JobEffect.StopRun.class::isInstance));
    }

    /** Guards against a restarted worker that gets one task at a time for longer than needed. */
    @Test
    public void stopsOneRunWhereNoneArrived() {
      JobSimulation simulation = fleet(1);
      final List<JobSpec> before = submit(simulation, "before", 2);
      simulation.delay = effect -> acknowledges(effect) ? 30_000 : 0;
      simulation.run(700);
      simulation.crash(simulation.workers.get(FIRST));
      simulation.delay = effect -> 0;
      simulation.run(RESTART_MILLIS + 1_500);
      final List<JobSpec> after = submit(simulation, "after", 4);
      simulation.run(4_000);
      assertComplete(simulation, before);
      assertComplete(simulation, after);
      long stops = simulation.effects.stream().filter(JobEffect.StopRun.class::isInstance).count();
      assertEquals(stops, 1);
    }

    /** Guards against a service that blocks all other work for as long as it runs there. */
    @Test
    public void letsTasksBeginBesideService() {
      JobSimulation simulation = fleet(1);
      reachNextIncarnation(simulation, 3_000);
      simulation.workMillis = 600_000;
      simulation.submit(job("service", step(1, 2, List.of(), StepSpec.Trait.LASTS)));
      simulation.run(5_000);
      simulation.workMillis = 500;
      final List<JobSpec> after = submit(simulation, "after", 1);
      simulation.run(60_000);
      assertComplete(simulation, after);
    }

    /** Guards against a task that never begins because orders take longer than its lease. */
    @Test
    public void runsElsewhereWhenOrdersTakeTooLong() {
      JobSimulation simulation = fleet(1);
      reachNextIncarnation(simulation, 3_000);
      simulation.run(RESTART_MILLIS + 12_000);
      simulation.oneWayDelayMillis = 250;
      final List<JobSpec> after = submit(simulation, "after", 1);
      simulation.run(3_000);
      SimulatedWorker second = new SimulatedWorker("w1", 8);
      simulation.workers.put(second.info.id(), second);
      simulation.post(new JobEvent.WorkerSeen(second.info));
      simulation.run(20_000);
      assertComplete(simulation, after);
    }

    /** Guards against polls without a pause, and missing acknowledgements, while renewals fail. */
    @Test
    public void pollsNoMoreOftenWhileStoreIsUnavailable() {
      JobSimulation simulation = fleet(1);
      simulation.submit(job("short", step(1, 2, List.of())));
      simulation.run(100);
      simulation.workMillis = 20_000;
      simulation.submit(job("long", step(1, 2, List.of())));
      simulation.delay = effect -> acknowledges(effect) ? 11_000 : 0;
      while (simulation.effects.stream().noneMatch(LateAcknowledgementTest::acknowledges)) {
        simulation.run(10);
      }
      simulation.maxWaitMillis = 1_000;
      simulation.storeUnavailable = true;
      simulation.run(2_600);
      simulation.delay = effect -> 0;
      simulation.effects.clear();
      simulation.run(1_000);
      assertTrue(
          simulation.effects.stream().filter(JobEffect.LookAtWorker.class::isInstance).count()
              <= 25);
      assertEquals(simulation.workers.get(FIRST).lastAcknowledgedCompletion(), 1);
    }

    /** Guards against acknowledgements that are repeated although no completion is listed. */
    @Test
    public void acknowledgesNothingWhenNothingIsListed() {
      JobSimulation simulation = fleet(1);
      submit(simulation, "before", 2);
      simulation.run(3_000);
      simulation.effects.clear();
      simulation.run(20_000);
      assertFalse(simulation.effects.stream().anyMatch(LateAcknowledgementTest::acknowledges));
    }
  }
}
