package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of how long tasks wait for the leases of a lost worker while leaders come and go. */
public class LostWorkerAcrossLeadersTest {

  private static final TaskName TASK = TaskName.parse("s.0.0.0");

  /** Time from the last activity of a killed leader until the next one has begun. */
  private static final long TAKEOVER_MILLIS = 2_500;

  /** Time from the end of a stopped leader until the next one has begun. */
  private static final long HANDOVER_MILLIS = 60;

  private static JobSimulation withLongRunningTask(SimulatedWorker... workers) {
    JobSimulation simulation = simulation(workers);
    simulation.workMillis = 60_000;
    simulation.submit(job("s", step(1, 4, List.of(), StepSpec.Trait.LASTS)));
    simulation.run(5_500);
    return simulation;
  }

  private static void endLeader(JobSimulation simulation, boolean killed) {
    if (killed) {
      simulation.killLeader();
      simulation.restoreStore();
      simulation.run(TAKEOVER_MILLIS);
    } else {
      simulation.endLeader();
      simulation.run(HANDOVER_MILLIS);
    }
    simulation.takeOver();
  }

  /** A worker that is lost for good. */
  public static class Lost {

    /** Time until a leader has noticed that a worker does not answer. */
    private static final long DETECTION_MILLIS = 1_500;

    /** Longest absence of a long-running task whose worker and leader are lost together. */
    private static final long ABSENT_MILLIS = 9_000;

    private static Object[][] series(Long... gaps) {
      return LongStream.of(300, 800, 1_300, 2_000, 4_460, 6_300, 8_000)
          .boxed()
          .flatMap(
              first ->
                  Stream.of(gaps)
                      .flatMap(
                          gap -> Stream.of(1, 2, 7).map(count -> new Object[] {first, gap, count})))
          .toArray(Object[][]::new);
    }

    /** Time of the first stop after the loss, time between two, and their number. */
    @DataProvider
    static Object[][] stops() {
      return series(300L, 1_000L, 1_800L);
    }

    /** The same for kills, which leave each leader the time to miss first answers. */
    @DataProvider
    static Object[][] kills() {
      return series(1_000L, 1_800L);
    }

    private static void runUntilPlaced(JobSimulation simulation, SimulatedWorker on, long end) {
      while (!on.runs(TASK) && simulation.now < end) {
        simulation.run(10);
      }
    }

    private static void assertReturnsInTime(long first, long gap, int count, boolean killed) {
      SimulatedWorker one = new SimulatedWorker("w1", 8);
      SimulatedWorker two = new SimulatedWorker("w2", 8);
      JobSimulation simulation = withLongRunningTask(one, two);
      final SimulatedWorker lost = one.runs(TASK) ? one : two;
      final SimulatedWorker other = lost == one ? two : one;
      lost.dead = true;
      final long lostMillis = simulation.now;
      simulation.run(first);
      for (int i = 0; i < count && !other.runs(TASK); i++) {
        endLeader(simulation, killed);
        runUntilPlaced(simulation, other, simulation.now + gap);
      }
      runUntilPlaced(simulation, other, lostMillis + 40_000);
      long bound =
          Math.min(first, DETECTION_MILLIS) + ABSENT_MILLIS + (killed ? TAKEOVER_MILLIS : 0);
      long absent = simulation.now - lostMillis;
      assertTrue(absent <= bound, "absent for " + absent + " ms");
    }

    /** Guards against an end of leases that each leader stores a little later than the last one. */
    @Test
    public void storedEndStaysTheSame() {
      SimulatedWorker one = new SimulatedWorker("w1", 8);
      SimulatedWorker two = new SimulatedWorker("w2", 8);
      JobSimulation simulation = withLongRunningTask(one, two);
      (one.runs(TASK) ? one : two).dead = true;
      simulation.run(2_000);
      final Map<WorkerIncarnation, Long> ends = simulation.facts.leaseEnds();
      assertEquals(ends.size(), 1);
      for (int i = 0; i < 5; i++) {
        endLeader(simulation, false);
        simulation.run(1_000);
        assertEquals(simulation.facts.leaseEnds(), ends);
      }
    }

    /** Guards against leaders that each wait anew for a lost worker, as they stop one by one. */
    @Test(dataProvider = "stops")
    public void longRunningTaskReturnsWhileLeadersStop(long first, long gap, int count) {
      assertReturnsInTime(first, gap, count, false);
    }

    /** Guards against leaders that each wait anew for a lost worker, as they are killed in turn. */
    @Test(dataProvider = "kills")
    public void longRunningTaskReturnsWhileLeadersAreKilled(long first, long gap, int count) {
      assertReturnsInTime(first, gap, count, true);
    }
  }

  /** A worker that is only cut off, and goes on running. */
  public static class CutOff {

    private static final TaskName[] TASKS =
        Stream.of("l.0.0.0", "l.0.0.1", "l.0.0.2", "l.0.0.3")
            .map(TaskName::parse)
            .toArray(TaskName[]::new);

    /** Time of the cut until the first change, time between two, and how long the cut lasts. */
    @DataProvider
    static Object[][] returns() {
      return LongStream.of(300, 1_300, 4_460)
          .boxed()
          .flatMap(
              first ->
                  LongStream.of(200, 900, 1_800)
                      .boxed()
                      .flatMap(
                          gap ->
                              LongStream.rangeClosed(1, 24)
                                  .mapToObj(back -> new Object[] {first, gap, back * 500})))
          .toArray(Object[][]::new);
    }

    /**
     * Guards against a second run of a task whose worker is reached again between two changes of
     * leaders, when its leases may be renewed past their stored end. The worker has the slowest
     * clock allowed. Each step of the simulation checks that no task runs twice.
     */
    @Test(dataProvider = "returns")
    public void longRunningTaskNeverRunsTwice(long first, long gap, long back) {
      SimulatedWorker one = new SimulatedWorker("w1", 8);
      SimulatedWorker two = new SimulatedWorker("w2", 8);
      one.speed = WorkerClock.SLOWEST;
      two.speed = WorkerClock.SLOWEST;
      JobSimulation simulation = withLongRunningTask(one, two);
      final SimulatedWorker cut = one.runs(TASK) ? one : two;
      cut.reachable = false;
      final long backMillis = simulation.now + back;
      simulation.run(first);
      for (int i = 0; i < 6; i++) {
        cut.reachable |= simulation.now >= backMillis;
        endLeader(simulation, i % 3 == 2);
        // One leader of the series reaches the worker for a moment, the next one does not.
        cut.reachable |= simulation.now >= backMillis;
        simulation.run(gap);
        cut.reachable = false;
      }
      simulation.run(12_000);
      cut.reachable = true;
      simulation.run(3_000);
      assertTrue(one.runs(TASK) || two.runs(TASK));
    }

    /** How long the store is away while the worker is reached. */
    @DataProvider
    static Object[][] outages() {
      return LongStream.rangeClosed(1, 19)
          .mapToObj(tenths -> new Object[] {tenths * 100})
          .toArray(Object[][]::new);
    }

    /**
     * Guards against a second run of a task whose worker is reached again while the store is away.
     * Its stored end cannot be withdrawn then, so its leases must not be renewed past that.
     */
    @Test(dataProvider = "outages")
    public void longRunningTaskNeverRunsTwiceWhereStoreIsAway(long outage) {
      SimulatedWorker one = new SimulatedWorker("w1", 8);
      SimulatedWorker two = new SimulatedWorker("w2", 8);
      one.speed = WorkerClock.SLOWEST;
      two.speed = WorkerClock.SLOWEST;
      JobSimulation simulation = withLongRunningTask(one, two);
      final SimulatedWorker cut = one.runs(TASK) ? one : two;
      cut.reachable = false;
      simulation.run(4_000);
      simulation.storeUnavailable = true;
      cut.reachable = true;
      simulation.run(outage);
      cut.reachable = false;
      simulation.killLeader();
      simulation.restoreStore();
      simulation.run(TAKEOVER_MILLIS);
      simulation.takeOver();
      simulation.run(12_000);
      assertTrue(one.runs(TASK) || two.runs(TASK));
    }

    /** Seeds of random series. */
    @DataProvider
    static Object[][] seeds() {
      return LongStream.rangeClosed(1, 150)
          .mapToObj(seed -> new Object[] {seed})
          .toArray(Object[][]::new);
    }

    /**
     * Guards against a second run where cuts, ends of leaders and outages of the store overlap, and
     * against tasks that never return.
     */
    @Test(dataProvider = "seeds")
    public void noTaskRunsTwiceWhateverOverlaps(long seed) {
      Random random = new Random(seed);
      SimulatedWorker[] workers =
          IntStream.rangeClosed(1, 4)
              .mapToObj(number -> new SimulatedWorker("w" + number, 8))
              .toArray(SimulatedWorker[]::new);
      Stream.of(workers)
          .forEach(worker -> worker.speed = random.nextBoolean() ? WorkerClock.SLOWEST : 1);
      JobSimulation simulation = simulation(workers);
      simulation.savesOutliveLeaders = random.nextBoolean();
      simulation.workMillis = 200_000;
      simulation.submit(job("l", step(TASKS.length, 4, List.of(), StepSpec.Trait.LASTS)));
      simulation.run(2_000);
      for (int i = 0; i < 40; i++) {
        SimulatedWorker worker = workers[random.nextInt(workers.length)];
        switch (random.nextInt(6)) {
          case 0, 1 -> worker.reachable = false;
          case 2 -> worker.reachable = true;
          case 3 -> endLeader(simulation, true);
          case 4 -> endLeader(simulation, false);
          default -> {
            simulation.storeUnavailable = true;
            workers[random.nextInt(workers.length)].reachable = random.nextBoolean();
            simulation.run(random.nextInt(1_900));
            endLeader(simulation, true);
          }
        }
        simulation.run(random.nextInt(1_500));
      }
      Stream.of(workers).forEach(worker -> worker.reachable = true);
      simulation.run(12_000);
      assertTrue(
          Stream.of(TASKS)
              .allMatch(task -> Stream.of(workers).anyMatch(worker -> worker.runs(task))));
    }
  }

  /** What the stored ends cost where many workers are lost at once. */
  public static class Cost {

    private static final int WORKERS = 470;

    /** Half of the workers of one of five data centres. */
    private static final int LOST = WORKERS / 10;

    /** Size of an end in the store, in bytes: an identifier of 20 characters and two times. */
    private static final long END_BYTES = 50;

    /** What control may cost a node, in bytes a second. */
    private static final long BYTES_PER_SECOND = 4_000;

    private static final int SECONDS = 10;

    /** Guards against a row that is written so often that it exceeds what a node may pay. */
    @Test
    public void staysWithinTheNetworkBudgetOfNodes() {
      SimulatedWorker[] workers =
          IntStream.range(0, WORKERS)
              .mapToObj(number -> new SimulatedWorker("w" + number, 8))
              .toArray(SimulatedWorker[]::new);
      JobSimulation simulation = simulation(workers);
      simulation.workMillis = 60_000;
      for (int i = 0; i < 10; i++) {
        simulation.submit(job("s" + i, step(WORKERS / 10, 8, List.of(), StepSpec.Trait.LASTS)));
      }
      simulation.run(3_000);
      Stream.of(workers).limit(LOST).forEach(worker -> worker.dead = true);
      simulation.effects.clear();
      simulation.run(SECONDS * 1_000);
      long ends =
          simulation.effects.stream()
              .filter(JobEffect.SaveProgress.class::isInstance)
              .map(JobEffect.SaveProgress.class::cast)
              .flatMap(save -> save.facts().stream())
              .mapToLong(facts -> facts.leaseEnds().size())
              .sum();
      assertTrue(ends >= LOST, "ends " + ends);
      assertTrue(ends * END_BYTES <= SECONDS * BYTES_PER_SECOND, "ends " + ends);
    }
  }
}
