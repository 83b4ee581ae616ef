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

/** Tests of what is decided when workers crash. */
public class CrashingTaskTest {

  /** Most starts of a task that crashes its workers: three, and less than three more. */
  private static final int MOST_STARTS = 5;

  private static final TaskName FATAL = TaskName.parse("bad.0.0.0");

  private static JobSimulation fleet(int workers, int cores) {
    return simulation(
        IntStream.range(0, workers)
            .mapToObj(i -> new SimulatedWorker("w" + i, cores))
            .toArray(SimulatedWorker[]::new));
  }

  /** Submits a job whose first task ends its worker's life after a while. */
  private static void submitFatal(JobSimulation lab, int tasks, long livesMillis) {
    lab.fatal.put(FATAL, livesMillis);
    lab.submit(job("bad", step(tasks, 2, List.of())));
  }

  private static void assertGivenUp(JobSimulation lab) {
    assertTrue(lab.startsOf(FATAL) <= MOST_STARTS, "starts: " + lab.startsOf(FATAL));
    assertEquals(lab.phase(FATAL.job()), JobPhase.FAILED);
  }

  /** Lets time pass until the fatal task was started so often, 20 s at most. */
  private static void untilStarts(JobSimulation lab, long starts) {
    for (int i = 0; i < 2_000 && lab.startsOf(FATAL) < starts; i++) {
      lab.run(10);
    }
  }

  /** Lets time pass while jobs of four tasks come every 300 ms; returns them. */
  private static List<JobSpec> others(JobSimulation lab, int count) {
    return IntStream.range(0, count)
        .mapToObj(
            i -> {
              JobSpec other = job("other" + i, step(4, 2, List.of()));
              lab.submit(other);
              lab.run(300);
              return other;
            })
        .toList();
  }

  private static void assertComplete(JobSimulation lab, Stream<JobSpec> jobs) {
    jobs.forEach(job -> assertEquals(lab.phase(job.id()), JobPhase.COMPLETE, job.id().value()));
  }

  /** A task that crashes its worker. */
  public static class Bounded {

    /** Guards against a task that crashes one worker after the other without end. */
    @Test
    public void givesUpTasksThatCrashTheirWorkers() {
      JobSimulation lab = fleet(6, 16);
      submitFatal(lab, 3, 10);
      final List<JobSpec> others = others(lab, 100);
      lab.run(20_000);
      assertGivenUp(lab);
      assertComplete(lab, others.stream());
    }

    /** Guards against blaming the last task to start where the cause had run for a while. */
    @Test
    public void givesUpTasksThatCrashTheirWorkersLater() {
      JobSimulation lab = fleet(6, 16);
      submitFatal(lab, 3, 250);
      final List<JobSpec> others = others(lab, 100);
      lab.run(20_000);
      assertGivenUp(lab);
      assertComplete(lab, others.stream());
    }

    /** Guards against crashes that go uncounted while the list still holds the dead worker. */
    @Test
    public void countsCrashesOfWorkersThatAreStillListed() {
      JobSimulation lab = fleet(6, 16);
      lab.listsCrashedWorkers = true;
      submitFatal(lab, 3, 10);
      lab.run(40_000);
      assertGivenUp(lab);
    }

    /** Guards against a failed run that begins the count of crashes anew. */
    @Test
    public void countsOnAfterRunThatItsWorkerFailed() {
      JobSimulation lab = fleet(6, 16);
      submitFatal(lab, 1, 10);
      untilStarts(lab, 2);
      lab.run(100);
      lab.fatal.remove(FATAL);
      untilStarts(lab, 3);
      lab.fatal.put(FATAL, 10L);
      lab.fails = true;
      lab.run(600);
      lab.fails = false;
      lab.run(40_000);
      assertGivenUp(lab);
    }

    /** Guards against starts without end where runs are stopped after three crashes. */
    @Test
    public void startsNoSixthTimeHoweverRunsEnd() {
      JobSimulation lab = fleet(6, 16);
      submitFatal(lab, 1, 250);
      untilStarts(lab, 3);
      for (int starts = 4; starts < 9; starts++) {
        untilStarts(lab, starts);
        lab.run(100);
        lab.workers
            .values()
            .forEach(worker -> worker.runs().forEach(run -> worker.stop(run, worker.token)));
      }
      lab.run(20_000);
      assertGivenUp(lab);
    }

    /** Guards against a count of crashes that each leader begins anew. */
    @Test
    public void countsOverTakeovers() {
      JobSimulation lab = fleet(6, 16);
      submitFatal(lab, 1, 10);
      for (int i = 0; i < 8; i++) {
        lab.run(7_500);
        lab.killLeader();
        lab.run(500);
        lab.takeOver();
      }
      lab.run(20_000);
      assertGivenUp(lab);
    }
  }

  /** Leaders that die when the worker does. */
  public static class Unseen {

    /** Guards against crashes that no leader saw, since it died with the worker. */
    @Test
    public void countsCrashesBeforeTheTerm() {
      JobSimulation lab = fleet(6, 16);
      submitFatal(lab, 1, 10);
      for (int i = 0; i < 8; i++) {
        untilStarts(lab, lab.startsOf(FATAL) + 1);
        lab.killLeader();
        lab.run(3_500);
        lab.takeOver();
      }
      lab.run(20_000);
      assertGivenUp(lab);
    }
  }

  /**
   * Tasks that were only beside one that crashes workers, or on workers that crash by themselves.
   */
  public static class Beside {

    /** Guards against giving up jobs whose workers crash for reasons of their own. */
    @Test
    public void nothingIsGivenUpWhereWorkersCrashByThemselves() {
      JobSimulation lab = fleet(12, 16);
      JobSpec lasting = job("lasting", step(12, 4, List.of(), StepSpec.Trait.LASTS));
      lab.submit(lasting);
      Random random = new Random(7);
      List<JobSpec> others =
          IntStream.range(0, 60)
              .mapToObj(
                  i -> {
                    JobSpec other = job("other" + i, step(6, 2, List.of()));
                    lab.submit(other);
                    lab.run(1_000);
                    List<SimulatedWorker> alive =
                        lab.workers.values().stream().filter(worker -> !worker.dead).toList();
                    lab.crash(alive.get(random.nextInt(alive.size())));
                    return other;
                  })
              .toList();
      lab.run(20_000);
      assertComplete(lab, others.stream());
      assertEquals(lab.phase(lasting.id()), JobPhase.RUNNING);
    }

    /** Guards against taking what has just started on a lost rack for the cause. */
    @Test
    public void nothingIsGivenUpWhereRacksAreLost() {
      JobSimulation lab = fleet(6, 16);
      lab.workMillis = 3_000;
      List<JobSpec> others =
          IntStream.range(0, 8).mapToObj(i -> job("other" + i, step(4, 2, List.of()))).toList();
      others.forEach(lab::submit);
      for (int i = 0; i < 3; i++) {
        lab.run(700);
        lab.workers.values().stream()
            .filter(worker -> !worker.dead)
            .limit(4)
            .toList()
            .forEach(lab::crash);
        lab.run(3_100);
      }
      lab.run(30_000);
      assertComplete(lab, others.stream());
    }

    /** A lasting task beside one that crashes workers runs on, wherever both meet. */
    @Test
    public void lastingTasksRunOnBesideFatalOnes() {
      JobSimulation lab = fleet(2, 16);
      lab.workMillis = 200_000;
      JobSpec lasting = job("lasting", step(2, 6, List.of(), StepSpec.Trait.LASTS));
      lab.submit(lasting);
      lab.run(1_000);
      lab.fatal.put(FATAL, 10L);
      lab.submit(job("bad", step(1, 2, List.of())));
      lab.run(60_000);
      assertNotEquals(lab.phase(lasting.id()), JobPhase.FAILED);
      assertEquals(lab.workers.values().stream().mapToLong(w -> w.runs().size()).sum(), 2);
    }
  }

  /** Fatal tasks, workers that crash by themselves and leaders that die, all at once. */
  public static class Storm {

    private static final int SEEDS = 8;
    private static final int SECONDS = 40;
    private static final List<Long> LIVES = List.of(10L, 150L, 400L);

    @DataProvider
    static Iterator<Object[]> seeds() {
      return IntStream.range(0, SEEDS).mapToObj(seed -> new Object[] {seed}).iterator();
    }

    private static TaskName fatal(int job) {
      return TaskName.parse("bad%d.0.0.%d".formatted(job, job));
    }

    private static void disturb(JobSimulation lab, Random random) {
      if (random.nextInt(3) == 0) {
        List<SimulatedWorker> alive =
            lab.workers.values().stream().filter(worker -> !worker.dead).toList();
        lab.crash(alive.get(random.nextInt(alive.size())));
      }
      if (random.nextInt(15) == 0) {
        lab.killLeader();
        lab.run(2_500);
        lab.takeOver();
      }
    }

    /** Guards against a sixth start, and against giving up neighbours, beside other faults. */
    @Test(dataProvider = "seeds")
    public void onlyFatalTasksAreGivenUp(int seed) {
      Random random = new Random(seed);
      JobSimulation lab = fleet(12, 16);
      List<JobSpec> bad =
          IntStream.range(0, LIVES.size())
              .mapToObj(i -> job("bad" + i, step(4, 2, List.of())))
              .toList();
      IntStream.range(0, LIVES.size()).forEach(i -> lab.fatal.put(fatal(i), LIVES.get(i)));
      bad.forEach(lab::submit);
      List<JobSpec> others = new ArrayList<>();
      for (int second = 0; second < SECONDS; second++) {
        others.add(job("other" + second, step(6, 2, List.of())));
        lab.submit(others.get(second));
        lab.run(1_000);
        disturb(lab, random);
      }
      lab.run(15_000);
      for (int i = 0; i < bad.size(); i++) {
        long starts = lab.startsOf(fatal(i));
        assertTrue(starts <= MOST_STARTS, fatal(i) + " starts " + starts);
        assertEquals(lab.phase(bad.get(i).id()), JobPhase.FAILED);
      }
      assertComplete(lab, others.stream());
    }
  }
}
