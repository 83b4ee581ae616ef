package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.RESTART_MILLIS;
import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.restartingFleet;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.cottontack.core.job.LateStartTest.FIRST;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of what leaders know of the orders and observations of earlier ones, as they change. */
public class KnowledgeAcrossLeadersTest {

  private static final WorkerId SECOND = new WorkerId("w1");

  /** Time from the last activity of a killed leader until the next one has begun. */
  private static final long TAKEOVER_MILLIS = 2_500;

  /** Time from the end of a stopped leader until the next one has begun. */
  private static final long HANDOVER_MILLIS = 60;

  /** Time between a worker's restart and the arrival of a late order. */
  private static final long BACK_BEFORE_MILLIS = 20;

  /** Longest time until a reachable worker has answered a poll. */
  private static final long ANSWER_MILLIS = 1_500;

  private static final List<Integer> COUNTS = List.of(1, 3, 7);

  /** Time between two changes of leaders, their number, and whether leaders are killed. */
  @DataProvider
  static Object[][] series() {
    return cross(List.of(1_000L, 1_800L));
  }

  private static Object[][] cross(List<Long> times) {
    return times.stream()
        .flatMap(
            time ->
                COUNTS.stream()
                    .flatMap(
                        count ->
                            Stream.of(false, true)
                                .map(killed -> new Object[] {time, count, killed})))
        .toArray(Object[][]::new);
  }

  static void changeLeader(JobSimulation simulation, boolean killed) {
    if (killed) {
      simulation.killLeader();
      simulation.run(TAKEOVER_MILLIS);
    } else {
      simulation.endLeader();
      simulation.run(HANDOVER_MILLIS);
    }
    simulation.takeOver();
  }

  /** Changes leaders until a condition holds; returns when the last one has begun. */
  private static long changeLeaders(
      JobSimulation simulation, long gap, int count, boolean killed, BooleanSupplier done) {
    long begun = simulation.now;
    for (int i = 0; i < count && !done.getAsBoolean(); i++) {
      changeLeader(simulation, killed);
      begun = simulation.now;
      runUntil(simulation, begun + gap, done);
    }
    return begun;
  }

  static void runUntil(JobSimulation simulation, long end, BooleanSupplier done) {
    while (simulation.now < end && !done.getAsBoolean()) {
      simulation.run(10);
    }
  }

  static boolean logged(JobSimulation simulation, String event) {
    return simulation.effects.stream()
        .anyMatch(effect -> effect instanceof JobEffect.Note note && note.name().equals(event));
  }

  private static void assertComplete(JobSimulation simulation, JobSpec job) {
    assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE, job.id().value());
  }

  /** Starts of batch tasks that an earlier leader sent and that may still be carried out. */
  public static class PinnedStarts {

    private static final StepSpec TASKS = step(3, 2, List.of());

    /**
     * Delay of starts. One that arrives later, on a worker that is just back, may begin before its
     * worker is polled.
     */
    private static final long DELAY_MILLIS = LateStart.LATEST_MILLIS - ANSWER_MILLIS;

    /** When leaders change after the starts were sent, and whether they are killed. */
    @DataProvider
    public Object[][] changes() {
      return Stream.of(
              List.of(200L),
              List.of(200L, 1_200L),
              List.of(200L, 9_300L),
              List.of(200L, 9_300L, 10_500L),
              List.of(9_300L, 10_500L))
          .flatMap(times -> Stream.of(false, true).map(killed -> new Object[] {times, killed}))
          .toArray(Object[][]::new);
    }

    /**
     * Guards against a task that one of several later leaders starts elsewhere beside its late
     * start.
     */
    @Test(dataProvider = "changes")
    public void runNoTaskTwice(List<Long> changes, boolean killed) {
      JobSimulation simulation = LateStartTest.fleet();
      simulation.workMillis = 20_000;
      final long sent = simulation.now;
      final JobSpec job = LateStartTest.submitLate(simulation, DELAY_MILLIS, TASKS);
      simulation.restartMillis = sent + DELAY_MILLIS - BACK_BEFORE_MILLIS - simulation.now;
      LateStartTest.crash(simulation);
      changes.forEach(
          change -> {
            simulation.run(Math.max(0, sent + change - simulation.now));
            changeLeader(simulation, killed);
          });
      simulation.run(60_000);
      assertComplete(simulation, job);
    }

    /** Guards against tasks that wait for a start of an earlier leader after it has expired. */
    @Test(dataProvider = "series", dataProviderClass = KnowledgeAcrossLeadersTest.class)
    public void delayTasksUntilTheyExpireAfterLastChange(long gap, int count, boolean killed) {
      JobSimulation simulation = LateStartTest.fleet();
      simulation.workMillis = 60_000;
      simulation.restartMillis = 600_000;
      LateStartTest.submitLate(simulation, 600_000, TASKS);
      LateStartTest.crash(simulation);
      final SimulatedWorker other = simulation.workers.get(SECOND);
      final BooleanSupplier back = () -> other.count() == 3;
      long begun = changeLeaders(simulation, gap, count, killed, back);
      runUntil(simulation, begun + LateStart.LATEST_MILLIS + ANSWER_MILLIS, back);
      assertTrue(back.getAsBoolean());
    }
  }

  /** Completions whose acknowledgement an earlier leader deferred. */
  public static class DeferredCompletions {

    private static final long DELAY_MILLIS = 10_000;

    private static JobSimulation withDeferredCompletions() {
      JobSimulation simulation = LateStartTest.fleet();
      LateStartTest.submitLate(simulation, DELAY_MILLIS, step(3, 2, List.of()));
      simulation.run(1_700);
      return simulation;
    }

    private static long acknowledged(JobSimulation simulation) {
      return simulation.workers.values().stream()
          .mapToLong(SimulatedWorker::lastAcknowledgedCompletion)
          .sum();
    }

    /** Guards against a duplicate start that repeats a task which one of several leaders forgot. */
    @Test(dataProvider = "series", dataProviderClass = KnowledgeAcrossLeadersTest.class)
    public void stayDeferredWhileDuplicatesMayArrive(long gap, int count, boolean killed) {
      JobSimulation simulation = LateStartTest.fleet();
      final long arrives = simulation.now + DELAY_MILLIS;
      final JobSpec job = LateStartTest.submitLate(simulation, DELAY_MILLIS, step(3, 2, List.of()));
      simulation.run(1_700);
      assertComplete(simulation, job);
      simulation.workMillis = 20_000;
      changeLeaders(simulation, gap, count, killed, () -> simulation.now > arrives - 5_000);
      LateStartTest.restartJustBefore(
          simulation, Math.max(arrives, simulation.now + RESTART_MILLIS + BACK_BEFORE_MILLIS));
      simulation.run(60_000);
      assertComplete(simulation, job);
    }

    /** Guards against completions that several leaders never acknowledge, each deferring anew. */
    @Test(dataProvider = "series", dataProviderClass = KnowledgeAcrossLeadersTest.class)
    public void areAcknowledgedOnceDuplicatesExpireAfterLastChange(
        long gap, int count, boolean killed) {
      JobSimulation simulation = withDeferredCompletions();
      assertEquals(acknowledged(simulation), 0);
      final BooleanSupplier all = () -> acknowledged(simulation) == 3;
      long begun = changeLeaders(simulation, gap, count, killed, all);
      runUntil(simulation, begun + LateStart.LATEST_MILLIS + ANSWER_MILLIS, all);
      assertEquals(acknowledged(simulation), 3);
    }
  }

  /** Workers whose completions may be suppressed, as an earlier leader observed. */
  public static class SuppressedEnds {

    private static final long ACKNOWLEDGED_LATE_MILLIS = 3_000;

    private static boolean acknowledges(JobEffect effect) {
      return effect instanceof JobEffect.LookAtWorker poll && poll.acknowledged() > 0;
    }

    /** Returns the only worker of a fleet, to whose next incarnation a late poll was sent. */
    private static JobSimulation withSuppressedCompletions() {
      JobSimulation simulation = restartingFleet(1);
      simulation.listsCrashedWorkers = true;
      simulation.run(1_000);
      simulation.submit(job("before", step(1, 2, List.of())));
      simulation.delay = effect -> acknowledges(effect) ? ACKNOWLEDGED_LATE_MILLIS : 0;
      runUntil(
          simulation,
          simulation.now + 5_000,
          () -> simulation.effects.stream().anyMatch(SuppressedEnds::acknowledges));
      simulation.delay = effect -> 0;
      simulation.run(ACKNOWLEDGED_LATE_MILLIS - BACK_BEFORE_MILLIS - RESTART_MILLIS);
      LateStartTest.crash(simulation);
      simulation.run(2_000);
      assertTrue(logged(simulation, "worker.hidesEnds"));
      return simulation;
    }

    /** Guards against a fleet on which no batch task completes once leaders no longer change. */
    @Test(dataProvider = "series", dataProviderClass = KnowledgeAcrossLeadersTest.class)
    public void delayTasksUntilLeasesEndAfterLastChange(long gap, int count, boolean killed) {
      JobSimulation simulation = withSuppressedCompletions();
      JobSpec job = job("after", step(1, 2, List.of()));
      simulation.submit(job);
      final BooleanSupplier complete = () -> simulation.phase(job.id()) == JobPhase.COMPLETE;
      long begun = changeLeaders(simulation, gap, count, killed, complete);
      long runs = SuppressedCompletions.SHORT_LEASE_MILLIS + simulation.workMillis;
      runUntil(simulation, begun + Fleet.MAX_LEASE_MILLIS + runs + ANSWER_MILLIS, complete);
      assertComplete(simulation, job);
    }

    /** Guards against services that wait for leases which do not concern them. */
    @Test(dataProvider = "series", dataProviderClass = KnowledgeAcrossLeadersTest.class)
    public void delayNoService(long gap, int count, boolean killed) {
      JobSimulation simulation = withSuppressedCompletions();
      changeLeaders(simulation, gap, count, killed, () -> false);
      simulation.workMillis = 60_000;
      simulation.submit(job("service", step(1, 2, List.of(), StepSpec.Trait.LASTS)));
      simulation.run(ANSWER_MILLIS);
      assertTrue(simulation.workers.get(FIRST).runs(TaskName.parse("service.0.0.0")));
    }
  }

  /** Runs without progress. */
  public static class StalledRuns {

    /** Guards against runs that stay stalled after the last change of leaders. */
    @Test(dataProvider = "series", dataProviderClass = KnowledgeAcrossLeadersTest.class)
    public void moveAfterLastChange(long gap, int count, boolean killed) {
      SimulatedWorker bad = new SimulatedWorker("w1", 32);
      SimulatedWorker good = new SimulatedWorker("w2", 16);
      JobSimulation simulation = simulation(bad, good);
      bad.stalls = true;
      simulation.submit(job("a", step(1, 1, List.of())));
      simulation.run(500);
      final BooleanSupplier moved = () -> good.count() == 1;
      long begun = changeLeaders(simulation, gap, count, killed, moved);
      JobTiming timing = JobTiming.STANDARD;
      runUntil(simulation, begun + timing.stalledMillis() + timing.pollWaitMillis() + 100, moved);
      assertTrue(moved.getAsBoolean());
    }
  }

  /** Runs that failed. */
  public static class FailedRuns {

    /** Guards against a count of failed runs that each leader begins anew. */
    @Test(dataProvider = "series", dataProviderClass = KnowledgeAcrossLeadersTest.class)
    public void countOverAllLeaders(long gap, int count, boolean killed) {
      JobSimulation simulation = restartingFleet(3);
      simulation.fails = true;
      simulation.workMillis = gap - 200;
      JobSpec job = job("a", step(1, 1, List.of()));
      simulation.submit(job);
      simulation.run(100);
      changeLeaders(simulation, gap, count, killed, () -> false);
      simulation.run(10_000);
      assertEquals(simulation.phase(job.id()), JobPhase.FAILED);
      assertEquals(simulation.startsOf(TaskName.parse("a.0.0.0")), JobFixtures.QUEUE.maxAttempts());
    }
  }

  /** A leader that loses the store and is elected again. */
  public static class StoreOutages {

    /** Times without the store that are shorter than leases. */
    @DataProvider
    public Object[][] outages() {
      return cross(List.of(1_000L, 3_000L));
    }

    /** Guards against runs that end or start again because the store comes and goes. */
    @Test(dataProvider = "outages")
    public void endNoRun(long outage, int count, boolean killed) {
      JobSimulation simulation = restartingFleet(2);
      simulation.workMillis = 600_000;
      simulation.submit(job("batch", step(3, 2, List.of())));
      simulation.submit(job("service", step(3, 2, List.of(), StepSpec.Trait.LASTS)));
      simulation.run(1_000);
      for (int i = 0; i < count; i++) {
        simulation.storeUnavailable = true;
        simulation.run(outage);
        simulation.killLeader();
        simulation.run(killed ? TAKEOVER_MILLIS : HANDOVER_MILLIS);
        simulation.restoreStore();
        simulation.takeOver();
        simulation.run(1_000);
        assertEquals(
            simulation.workers.values().stream().mapToInt(SimulatedWorker::count).sum(), 6);
      }
      assertEquals(simulation.starts(), 6);
    }
  }

  /** Starts of long-running tasks that an earlier leader sent while orders were late. */
  public static class LateStarts {

    private static final String LOST = "lost";
    private static final String OTHER = "other";

    /** Time after which the sender of an order without an answer stops waiting. */
    private static final long UNANSWERED_MILLIS = 900;

    /** Undisturbed time after which the absence of a long-running task counts. */
    private static final long UNDISTURBED_MILLIS = 7_000;

    private static final StepSpec LONG_RUNNING = step(3, 2, List.of(), StepSpec.Trait.LASTS);

    /** Delay of starts, with time to find the runs that they begin before they expire. */
    private static final long DELAY_MILLIS = LateStart.LATEST_MILLIS - ANSWER_MILLIS;

    /**
     * Time from a crash to the first change of leaders, their number, and whether they are killed.
     */
    @DataProvider
    public Object[][] changes() {
      return cross(List.of(20L, 1_000L, 2_000L));
    }

    private static boolean startsOn(JobEffect effect, String name, WorkerId worker) {
      return effect instanceof JobEffect.StartRun start
          && start.run().task().job().value().equals(name)
          && start.target().incarnation().worker().equals(worker);
    }

    private static boolean startsOther(JobEffect effect) {
      return startsOn(effect, OTHER, FIRST) || startsOn(effect, OTHER, SECOND);
    }

    /**
     * Guards against a second run of a long-running task by a leader that does not know of the
     * start which an earlier one saw ignored.
     */
    @Test(dataProvider = "changes")
    public void runNoTaskTwice(long first, int count, boolean killed) {
      JobSimulation simulation = LateStartTest.fleet();
      simulation.workMillis = 600_000;
      simulation.delay = effect -> startsOther(effect) ? 600_000 : 0;
      simulation.submit(job(OTHER, step(1, 2, List.of())));
      final BooleanSupplier ignored = () -> logged(simulation, "start.ignored");
      runUntil(simulation, simulation.now + 2_000, ignored);
      assertTrue(ignored.getAsBoolean());
      final long arrives = simulation.now + DELAY_MILLIS;
      simulation.delay =
          effect ->
              startsOther(effect)
                  ? 600_000
                  : startsOn(effect, LOST, FIRST) ? arrives - simulation.now : 0;
      simulation.submit(job(LOST, LONG_RUNNING));
      final BooleanSupplier sent =
          () -> simulation.effects.stream().anyMatch(effect -> startsOn(effect, LOST, FIRST));
      runUntil(simulation, simulation.now + 1_000, sent);
      simulation.delay = effect -> 0;
      simulation.restartMillis = arrives - BACK_BEFORE_MILLIS - simulation.now;
      LateStartTest.crash(simulation);
      simulation.run(first);
      changeLeaders(simulation, 1_000, count, killed, () -> false);
      simulation.run(30_000);
      assertEquals(simulation.workers.values().stream().mapToInt(SimulatedWorker::count).sum(), 4);
    }

    /** Time to the loss of a worker and on to the first change, number of changes, if killed. */
    @DataProvider
    public Object[][] lateChanges() {
      return cross(List.of(2_000L, 5_000L, 9_000L));
    }

    /**
     * Guards against a long-running task that is pinned anew by each leader, for longer than its
     * users bear while orders are late.
     */
    @Test(dataProvider = "lateChanges")
    public void delayTasksNoLongerThanUsersBear(long first, int count, boolean killed) {
      JobSimulation simulation = LateStartTest.fleet();
      simulation.workMillis = 600_000;
      simulation.restartMillis = 600_000;
      simulation.delay = effect -> startsOn(effect, LOST, FIRST) ? 600_000 : 0;
      simulation.submit(job(LOST, LONG_RUNNING));
      final BooleanSupplier ignored = () -> logged(simulation, "start.ignored");
      runUntil(simulation, simulation.now + 2_000, ignored);
      assertTrue(ignored.getAsBoolean());
      final long sent = simulation.now - UNANSWERED_MILLIS;
      LateStartTest.crash(simulation);
      simulation.run(first);
      final SimulatedWorker other = simulation.workers.get(SECOND);
      final BooleanSupplier back = () -> other.count() == 3;
      changeLeaders(simulation, 1_000, count, killed, back);
      long bound = sent + LateStart.LATEST_MILLIS + UNDISTURBED_MILLIS;
      runUntil(simulation, bound + 60_000, back);
      long late = simulation.now - bound - (killed ? TAKEOVER_MILLIS : 0);
      assertTrue(late <= 0, "late by " + late + " ms");
    }
  }
}
