package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of decisions after worker crashes. */
public class CrashingTaskTest {

  /** Maximum starts of a task that crashes its workers: three, and fewer than three more. */
  private static final int MAX_STARTS = 5;

  private static final TaskName FATAL = TaskName.parse("bad.0.0.0");

  private static JobSimulation fleet(int workers, int cores) {
    return simulation(
        IntStream.range(0, workers)
            .mapToObj(i -> new SimulatedWorker("w" + i, cores))
            .toArray(SimulatedWorker[]::new));
  }

  /** Submits a job whose first task crashes its worker after the given time. */
  private static void submitFatal(JobSimulation simulation, int tasks, long survivesMillis) {
    simulation.fatal.put(FATAL, survivesMillis);
    simulation.submit(job("bad", step(tasks, 2, List.of())));
  }

  private static void assertAbandoned(JobSimulation simulation) {
    assertTrue(simulation.startsOf(FATAL) <= MAX_STARTS, "starts: " + simulation.startsOf(FATAL));
    assertEquals(simulation.phase(FATAL.job()), JobPhase.FAILED);
  }

  /** Runs the simulation until the fatal task was started this many times, for 20 s at most. */
  private static void runUntilStarted(JobSimulation simulation, long starts) {
    for (int i = 0; i < 2_000 && simulation.startsOf(FATAL) < starts; i++) {
      simulation.run(10);
    }
  }

  /** Runs the simulation while a job of four tasks is submitted every 300 ms; returns the jobs. */
  private static List<JobSpec> others(JobSimulation simulation, int count) {
    return IntStream.range(0, count)
        .mapToObj(
            i -> {
              JobSpec other = job("other" + i, step(4, 2, List.of()));
              simulation.submit(other);
              simulation.run(300);
              return other;
            })
        .toList();
  }

  private static void assertComplete(JobSimulation simulation, Stream<JobSpec> jobs) {
    jobs.forEach(
        job -> assertEquals(simulation.phase(job.id()), JobPhase.COMPLETE, job.id().value()));
  }

  /** A task that crashes its worker. */
  public static class Bounded {

    /** Guards against a task that crashes one worker after another indefinitely. */
    @Test
    public void abandonsTasksThatCrashTheirWorkers() {
      JobSimulation simulation = fleet(6, 16);
      submitFatal(simulation, 3, 10);
      final List<JobSpec> others = others(simulation, 100);
      simulation.run(20_000);
      assertAbandoned(simulation);
      assertComplete(simulation, others.stream());
    }

    /**
     * Guards against blaming the last task to start when the cause had been running for a while.
     */
    @Test
    public void abandonsTasksThatCrashTheirWorkersLater() {
      JobSimulation simulation = fleet(6, 16);
      submitFatal(simulation, 3, 250);
      final List<JobSpec> others = others(simulation, 100);
      simulation.run(20_000);
      assertAbandoned(simulation);
      assertComplete(simulation, others.stream());
    }

    /**
     * Guards against crashes that are not counted while the list still holds the crashed worker.
     */
    @Test
    public void countsCrashesOfWorkersThatAreStillListed() {
      JobSimulation simulation = fleet(6, 16);
      simulation.listsCrashedWorkers = true;
      submitFatal(simulation, 3, 10);
      simulation.run(40_000);
      assertAbandoned(simulation);
    }

    /** Guards against a failed run that resets the count of crashes. */
    @Test
    public void keepsCountAfterFailedRun() {
      JobSimulation simulation = fleet(6, 16);
      submitFatal(simulation, 1, 10);
      runUntilStarted(simulation, 2);
      simulation.run(100);
      simulation.fatal.remove(FATAL);
      runUntilStarted(simulation, 3);
      simulation.fatal.put(FATAL, 10L);
      simulation.fails = true;
      simulation.run(600);
      simulation.fails = false;
      simulation.run(40_000);
      assertAbandoned(simulation);
    }

    /** Guards against unlimited starts where runs are stopped after three crashes. */
    @Test
    public void startsNoSixthTimeHoweverRunsEnd() {
      JobSimulation simulation = fleet(6, 16);
      submitFatal(simulation, 1, 250);
      runUntilStarted(simulation, 3);
      for (int starts = 4; starts < 9; starts++) {
        runUntilStarted(simulation, starts);
        simulation.run(100);
        simulation
            .workers
            .values()
            .forEach(worker -> worker.runs().forEach(run -> worker.stop(run, worker.token)));
      }
      simulation.run(20_000);
      assertAbandoned(simulation);
    }

    /** Guards against a count of crashes that each new leader resets. */
    @Test
    public void countsOverTakeovers() {
      JobSimulation simulation = fleet(6, 16);
      submitFatal(simulation, 1, 10);
      for (int i = 0; i < 8; i++) {
        simulation.run(7_500);
        simulation.killLeader();
        simulation.run(500);
        simulation.takeOver();
      }
      simulation.run(20_000);
      assertAbandoned(simulation);
    }
  }

  /** Leaders that die together with the worker. */
  public static class UnobservedCrashes {

    /** Guards against crashes that no leader saw because it died with the worker. */
    @Test
    public void countsCrashesBeforeTheTerm() {
      JobSimulation simulation = fleet(6, 16);
      submitFatal(simulation, 1, 10);
      for (int i = 0; i < 8; i++) {
        runUntilStarted(simulation, simulation.startsOf(FATAL) + 1);
        simulation.killLeader();
        simulation.run(3_500);
        simulation.takeOver();
      }
      simulation.run(20_000);
      assertAbandoned(simulation);
    }
  }

  /**
   * Tasks that only ran beside one that crashes workers, or on workers that crash for other
   * reasons.
   */
  public static class Neighbours {

    /** Guards against abandoning jobs whose workers crash for other reasons. */
    @Test
    public void nothingIsAbandonedWhereWorkersCrashByThemselves() {
      JobSimulation simulation = fleet(12, 16);
      JobSpec longRunning = job("lasting", step(12, 4, List.of(), StepSpec.Trait.LASTS));
      simulation.submit(longRunning);
      Random random = new Random(7);
      List<JobSpec> others =
          IntStream.range(0, 60)
              .mapToObj(
                  i -> {
                    JobSpec other = job("other" + i, step(6, 2, List.of()));
                    simulation.submit(other);
                    simulation.run(1_000);
                    List<SimulatedWorker> alive =
                        simulation.workers.values().stream()
                            .filter(worker -> !worker.dead)
                            .toList();
                    simulation.crash(alive.get(random.nextInt(alive.size())));
                    return other;
                  })
              .toList();
      simulation.run(20_000);
      assertComplete(simulation, others.stream());
      assertEquals(simulation.phase(longRunning.id()), JobPhase.RUNNING);
    }

    /** Guards against treating tasks that have just started on a lost rack as the cause. */
    @Test
    public void nothingIsAbandonedWhereRacksAreLost() {
      JobSimulation simulation = fleet(6, 16);
      simulation.workMillis = 3_000;
      List<JobSpec> others =
          IntStream.range(0, 8).mapToObj(i -> job("other" + i, step(4, 2, List.of()))).toList();
      others.forEach(simulation::submit);
      for (int i = 0; i < 3; i++) {
        simulation.run(700);
        simulation.workers.values().stream()
            .filter(worker -> !worker.dead)
            .limit(4)
            .toList()
            .forEach(simulation::crash);
        simulation.run(3_100);
      }
      simulation.run(30_000);
      assertComplete(simulation, others.stream());
    }

    /**
     * Guards against stopping a long-running task because it runs beside a task that crashes
     * workers.
     */
    @Test
    public void longRunningTasksContinueBesideFatalOnes() {
      JobSimulation simulation = fleet(2, 16);
      simulation.workMillis = 200_000;
      JobSpec longRunning = job("lasting", step(2, 6, List.of(), StepSpec.Trait.LASTS));
      simulation.submit(longRunning);
      simulation.run(1_000);
      simulation.fatal.put(FATAL, 10L);
      simulation.submit(job("bad", step(1, 2, List.of())));
      simulation.run(60_000);
      assertNotEquals(simulation.phase(longRunning.id()), JobPhase.FAILED);
      assertEquals(simulation.workers.values().stream().mapToLong(w -> w.runs().size()).sum(), 2);
    }
  }

  /** Fatal tasks, unrelated worker crashes and leader losses combined. */
  public static class FaultInjection {

    private static final int SEEDS = 8;
    private static final int SECONDS = 40;
    private static final List<Long> SURVIVAL_MILLIS = List.of(10L, 150L, 400L);

    @DataProvider
    static Iterator<Object[]> seeds() {
      return IntStream.range(0, SEEDS).mapToObj(seed -> new Object[] {seed}).iterator();
    }

    private static TaskName fatal(int job) {
      return TaskName.parse("bad%d.0.0.%d".formatted(job, job));
    }

    private static void injectFaults(JobSimulation simulation, Random random) {
      if (random.nextInt(3) == 0) {
        List<SimulatedWorker> alive =
            simulation.workers.values().stream().filter(worker -> !worker.dead).toList();
        simulation.crash(alive.get(random.nextInt(alive.size())));
      }
      if (random.nextInt(15) == 0) {
        simulation.killLeader();
        simulation.run(2_500);
        simulation.takeOver();
      }
    }

    /** Guards against a sixth start, and against abandoning neighbours, during other faults. */
    @Test(dataProvider = "seeds")
    public void onlyFatalTasksAreAbandoned(int seed) {
      Random random = new Random(seed);
      JobSimulation simulation = fleet(12, 16);
      List<JobSpec> bad =
          IntStream.range(0, SURVIVAL_MILLIS.size())
              .mapToObj(i -> job("bad" + i, step(4, 2, List.of())))
              .toList();
      IntStream.range(0, SURVIVAL_MILLIS.size())
          .forEach(i -> simulation.fatal.put(fatal(i), SURVIVAL_MILLIS.get(i)));
      bad.forEach(simulation::submit);
      List<JobSpec> others = new ArrayList<>();
      for (int second = 0; second < SECONDS; second++) {
        others.add(job("other" + second, step(6, 2, List.of())));
        simulation.submit(others.get(second));
        simulation.run(1_000);
        injectFaults(simulation, random);
      }
      simulation.run(15_000);
      for (int i = 0; i < bad.size(); i++) {
        long starts = simulation.startsOf(fatal(i));
        assertTrue(starts <= MAX_STARTS, fatal(i) + " starts " + starts);
        assertEquals(simulation.phase(bad.get(i).id()), JobPhase.FAILED);
      }
      assertComplete(simulation, others.stream());
    }
  }
}
