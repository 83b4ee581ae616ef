package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.restartingFleet;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of runs that an earlier leader placed, of whose past the present one knows nothing. */
public class InheritedRunsTest {

  /** Time between two changes of leaders. */
  private static final long GAP_MILLIS = 1_000;

  private static final long HANDOVER_MILLIS = 60;

  private static void changeLeader(JobSimulation simulation) {
    simulation.endLeader();
    simulation.run(HANDOVER_MILLIS);
    simulation.takeOver();
  }

  /** What is learned from runs that end. */
  public static class Durations {

    private static final long ACTUAL_MILLIS = 500;

    /** Uptime of the machine, at which steady clocks begin. */
    private static final long UPTIME_MILLIS = 86_400_000;

    private static DurationEstimates learned(JobSimulation simulation) {
      String text =
          simulation.effects.stream()
              .filter(JobEffect.SaveProgress.class::isInstance)
              .map(effect -> ((JobEffect.SaveProgress) effect).learned())
              .filter(learned -> !learned.isEmpty())
              .reduce("", (earlier, later) -> later);
      DurationEstimates estimates = new DurationEstimates();
      new LearnedText(new LearnedInterference(), estimates)
          .restore(text, new HashSet<>(), new HashSet<>(), new HashMap<>());
      return estimates;
    }

    /** Guards against runs whose duration is taken for the uptime of the leader's machine. */
    @Test
    public void ignoreRunsOfEarlierLeaders() {
      JobSimulation simulation = restartingFleet(2);
      simulation.now += UPTIME_MILLIS;
      simulation.run(100);
      for (int i = 0; i < 7; i++) {
        simulation.submit(job("a" + i, step(4, 1, List.of())));
        simulation.run(100);
        changeLeader(simulation);
        simulation.submit(job("b" + i, step(4, 1, List.of())));
        simulation.run(5_000);
      }
      long millis = learned(simulation).millis(JobFixtures.QUEUE, TestStep.tasks(1).of());
      assertTrue(millis < 2 * ACTUAL_MILLIS, "expected duration " + millis);
    }
  }

  /** Runs that make progress. */
  public static class Progress {

    /** Time in which a run progresses by one percent, and number of changes of leaders. */
    @DataProvider
    public Object[][] slow() {
      return Stream.of(600L, 3_000L)
          .flatMap(percent -> Stream.of(1, 3, 7).map(count -> new Object[] {percent, count}))
          .toArray(Object[][]::new);
    }

    /** Guards against each leader stopping runs that have not progressed by one percent yet. */
    @Test(dataProvider = "slow")
    public void isNoStallUnderNextLeader(long percent, int count) {
      SimulatedWorker first = new SimulatedWorker("w1", 16);
      SimulatedWorker second = new SimulatedWorker("w2", 16);
      Stream.of(first, second).forEach(worker -> worker.percentMillis = percent);
      JobSimulation simulation = simulation(first, second);
      simulation.now += 60_000;
      simulation.run(100);
      simulation.workMillis = 100 * percent;
      simulation.submit(job("a", step(4, 2, List.of())));
      simulation.run(300);
      for (int i = 0; i < count; i++) {
        changeLeader(simulation);
        simulation.run(GAP_MILLIS);
      }
      simulation.run(GAP_MILLIS);
      assertEquals(simulation.starts(), 4);
    }
  }

  /** Long-running tasks that crash their workers. */
  public static class Crashes {

    /** Maximum starts of a task that crashes its workers: three, and fewer than three more. */
    private static final int MAX_STARTS = 5;

    private static final TaskName FATAL = TaskName.parse("bad.0.0.0");

    /** Number of the start after which leaders begin to change after each one. */
    @DataProvider
    public Object[][] from() {
      return IntStream.rangeClosed(1, MAX_STARTS)
          .boxed()
          .flatMap(from -> Stream.of(1, 20).map(count -> new Object[] {from, count}))
          .toArray(Object[][]::new);
    }

    /** Guards against a leader that clears a task of crashes as soon as its run is listed. */
    @Test(dataProvider = "from")
    public void countOverLeaders(int from, int count) {
      JobSimulation simulation =
          simulation(
              IntStream.range(0, 6)
                  .mapToObj(i -> new SimulatedWorker("w" + i, 16))
                  .toArray(SimulatedWorker[]::new));
      simulation.workMillis = 600_000;
      simulation.fatal.put(FATAL, 800L);
      simulation.submit(job("bad", step(1, 2, List.of(), StepSpec.Trait.LASTS)));
      long changedAt = from - 1L;
      int changes = 0;
      while (simulation.now < 120_000 && simulation.phase(FATAL.job()) != JobPhase.FAILED) {
        simulation.run(10);
        if (changes < count && simulation.startsOf(FATAL) > changedAt) {
          changedAt = simulation.startsOf(FATAL);
          changes++;
          simulation.run(300);
          changeLeader(simulation);
        }
      }
      assertTrue(simulation.startsOf(FATAL) <= MAX_STARTS, "starts " + simulation.startsOf(FATAL));
      assertEquals(simulation.phase(FATAL.job()), JobPhase.FAILED);
    }
  }
}
