package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.RESTART_MILLIS;
import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.step;
import static org.cottontack.core.job.LateStartTest.FIRST;
import static org.cottontack.core.job.LateStartTest.crash;
import static org.cottontack.core.job.LateStartTest.fleet;
import static org.cottontack.core.job.LateStartTest.submitLate;
import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.function.Predicate;
import java.util.stream.LongStream;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of long-running tasks whose start has no answer when their worker is lost. */
public class LastingLateStartTest {

  private static final WorkerId SECOND = new WorkerId("w1");
  private static final String LOST = "lost";
  private static final String OTHER = "other";

  /**
   * Time between a worker's restart and the arrival of a late start, in milliseconds: too short for
   * its leader to poll it.
   */
  private static final long BACK_BEFORE_MILLIS = 20;

  /** Time after which the sender of an order without an answer stops waiting, in milliseconds. */
  private static final long UNANSWERED_MILLIS = 900;

  /**
   * Longest permitted absence of a long-running task after a crash without any other fault, in
   * milliseconds.
   */
  private static final long MAX_CRASH_ABSENCE_MILLIS = 9_000;

  /**
   * Longest permitted absence of a long-running task once nothing is disturbed any more, in
   * milliseconds.
   */
  private static final long MAX_UNDISTURBED_ABSENCE_MILLIS = 3_000;

  private static StepSpec longRunning(int count) {
    return step(count, 2, List.of(), StepSpec.Trait.LASTS);
  }

  private static JobSimulation longRunningFleet() {
    JobSimulation simulation = fleet();
    simulation.workMillis = 600_000;
    return simulation;
  }

  private static long running(JobSimulation simulation) {
    return simulation.workers.values().stream().mapToLong(SimulatedWorker::count).sum();
  }

  /** Returns whether a start is for the long-running tasks on the worker that is lost. */
  private static boolean lateOnFirst(JobEffect.StartRun start) {
    return start.run().task().job().value().equals(LOST)
        && start.target().incarnation().worker().equals(FIRST);
  }

  private static boolean ofOther(JobEffect.StartRun start) {
    return start.run().task().job().value().equals(OTHER);
  }

  private static void delay(
      JobSimulation simulation, long arrivesMillis, Predicate<JobEffect.StartRun> delayed) {
    simulation.delay =
        effect ->
            effect instanceof JobEffect.StartRun start && delayed.test(start)
                ? arrivesMillis - simulation.now
                : 0;
  }

  /** Submits long-running tasks, and returns as soon as their starts were sent. */
  private static void submitLost(JobSimulation simulation) {
    simulation.submit(job(LOST, longRunning(3)));
    while (simulation.effects.stream().noneMatch(LastingLateStartTest::startsLost)) {
      simulation.run(10);
    }
  }

  private static boolean startsLost(JobEffect effect) {
    return effect instanceof JobEffect.StartRun start && lateOnFirst(start);
  }

  /**
   * Crashes the first worker, which restarts under its identifier just before a late start arrives.
   */
  private static void crashUntilJustBefore(JobSimulation simulation, long arrivesMillis) {
    simulation.restartMillis = arrivesMillis - BACK_BEFORE_MILLIS - simulation.now;
    crash(simulation);
  }

  /** Workers that answer a poll and leave the start unanswered before they are lost. */
  public static class Ignored {

    /** Times from a start to its late arrival and to the loss of its worker, in milliseconds. */
    @DataProvider
    public Object[][] moments() {
      return LongStream.iterate(8_500, late -> late <= 12_000, late -> late + 250)
          .boxed()
          .flatMap(
              late ->
                  List.of(100L, 500L, 1_500L, 3_000L, 6_000L).stream()
                      .map(lost -> new Object[] {late, lost}))
          .toArray(Object[][]::new);
    }

    /**
     * Guards against a second run of a long-running task beside the one that its late start begins,
     * whenever that arrives.
     */
    @Test(dataProvider = "moments")
    public void runsNoTaskTwice(long late, long lost) {
      JobSimulation simulation = longRunningFleet();
      final long arrives = simulation.now + late;
      simulation.delay =
          effect -> effect instanceof JobEffect.StartRun ? arrives - simulation.now : 0;
      simulation.submit(job("late", longRunning(3)));
      simulation.run(lost);
      simulation.delay = effect -> 0;
      crashUntilJustBefore(simulation, arrives);
      simulation.run(30_000);
      assertEquals(running(simulation), 3);
    }

    /**
     * Guards against a second run of a long-running task when its start is the only order that is
     * late.
     */
    @Test
    public void runsNoTaskTwiceWhenOnlyItsStartIsLate() {
      JobSimulation simulation = longRunningFleet();
      final long arrives = simulation.now + 11_000;
      delay(simulation, arrives, LastingLateStartTest::lateOnFirst);
      submitLost(simulation);
      simulation.run(300);
      crashUntilJustBefore(simulation, arrives);
      simulation.run(30_000);
      assertEquals(running(simulation), 3);
    }

    /**
     * Guards against a start that is forgotten because its worker is back before the start counts
     * as unanswered.
     */
    @Test
    public void runsNoTaskTwiceWhenItsWorkerIsSoonBack() {
      JobSimulation simulation = longRunningFleet();
      final long arrives = simulation.now + 11_000;
      delay(simulation, arrives, LastingLateStartTest::lateOnFirst);
      submitLost(simulation);
      simulation.run(300);
      crash(simulation);
      simulation.run(RESTART_MILLIS + 50);
      crashUntilJustBefore(simulation, arrives);
      simulation.run(30_000);
      assertEquals(running(simulation), 3);
    }

    /**
     * Guards against a start that is forgotten because its worker's next incarnation never answers.
     */
    @Test
    public void runsNoTaskTwiceWhenNextIncarnationDoesNotAnswer() {
      JobSimulation simulation = longRunningFleet();
      simulation.listsCrashedWorkers = false;
      final long arrives = simulation.now + 11_800;
      delay(simulation, arrives, LastingLateStartTest::lateOnFirst);
      submitLost(simulation);
      simulation.run(300);
      simulation.restartMillis = 200;
      simulation.delay = effect -> effect instanceof JobEffect.LookAtWorker ? 60_000 : 0;
      crash(simulation);
      simulation.run(simulation.restartMillis + 50);
      simulation.listsCrashedWorkers = true;
      crashUntilJustBefore(simulation, arrives);
      simulation.run(50);
      simulation.delay = effect -> 0;
      simulation.run(30_000);
      assertEquals(running(simulation), 3);
    }

    /** Guards against a long-running task that is absent after its start has expired. */
    @Test
    public void restartsTaskOnceItsStartHasExpired() {
      JobSimulation simulation = longRunningFleet();
      simulation.restartMillis = 120_000;
      final long sent = simulation.now;
      submitLate(simulation, 30_000, longRunning(3));
      crash(simulation);
      simulation.run(
          sent + LateStart.LATEST_MILLIS + MAX_UNDISTURBED_ABSENCE_MILLIS - simulation.now);
      assertEquals(simulation.workers.get(SECOND).count(), 3);
    }

    /**
     * Guards against a long-running task that was running and, once lost, waits for a duplicate of
     * its start.
     */
    @Test
    public void restartsRunningTaskOnceLeasesHaveEnded() {
      JobSimulation simulation = longRunningFleet();
      simulation.restartMillis = 120_000;
      submitLate(simulation, 30_000, longRunning(3));
      simulation.run(LateStart.LATEST_MILLIS);
      assertEquals(running(simulation), 3);
      crash(simulation);
      simulation.run(MAX_CRASH_ABSENCE_MILLIS);
      assertEquals(simulation.workers.get(SECOND).count(), 3);
    }
  }

  /** Workers that are lost together with the start, before they answer anything. */
  public static class CutShort {

    /**
     * Guards against a long-running task that is absent for longer than after any loss of its
     * worker.
     */
    @Test
    public void restartsTaskOnceLeasesHaveEnded() {
      JobSimulation simulation = longRunningFleet();
      simulation.restartMillis = 120_000;
      delay(simulation, simulation.now + 30_000, LastingLateStartTest::lateOnFirst);
      submitLost(simulation);
      crash(simulation);
      simulation.run(MAX_CRASH_ABSENCE_MILLIS);
      assertEquals(simulation.workers.get(SECOND).count(), 3);
    }

    /** Guards against a second run of a long-running task when an earlier start was ignored. */
    @Test
    public void runsNoTaskTwiceWhenOrdersWereLateBefore() {
      JobSimulation simulation = longRunningFleet();
      final long arrives = simulation.now + 11_000;
      delay(simulation, arrives, start -> lateOnFirst(start) || ofOther(start));
      simulation.submit(job(OTHER, step(1, 2, List.of())));
      simulation.run(UNANSWERED_MILLIS + 500);
      submitLost(simulation);
      crashUntilJustBefore(simulation, arrives);
      simulation.run(30_000);
      assertEquals(running(simulation), 4);
    }

    /** Guards against a second run of a long-running task when a later start is ignored. */
    @Test
    public void runsNoTaskTwiceWhenOrdersAreLateAfterwards() {
      JobSimulation simulation = longRunningFleet();
      final long arrives = simulation.now + 11_000;
      delay(simulation, arrives, start -> lateOnFirst(start) || ofOther(start));
      submitLost(simulation);
      crashUntilJustBefore(simulation, arrives);
      simulation.run(2_000);
      simulation.submit(job(OTHER, step(1, 2, List.of())));
      simulation.run(30_000);
      assertEquals(running(simulation), 4);
    }

    /**
     * Guards against a start on one worker that is mistaken for an earlier one on another worker.
     */
    @Test
    public void distinguishesStartFromExpiredOne() {
      JobSimulation simulation = longRunningFleet();
      crash(simulation);
      simulation.run(3_000);
      final long arrives = simulation.now + 20_500;
      simulation.restartMillis = 9_300;
      delay(simulation, arrives, start -> lateOnFirst(start) || start.run().run() > 1);
      submitLost(simulation);
      crash(simulation);
      while (simulation.effects.stream().noneMatch(CutShort::startsAgain)) {
        simulation.run(10);
      }
      simulation.run(300);
      simulation.delay = effect -> 0;
      simulation.restartMillis = arrives - BACK_BEFORE_MILLIS - simulation.now;
      simulation.crash(simulation.workers.get(SECOND));
      simulation.run(30_000);
      assertEquals(running(simulation), 3);
    }

    private static boolean startsAgain(JobEffect effect) {
      return effect instanceof JobEffect.StartRun start && start.run().run() > 1;
    }

    /**
     * Guards against a second run of a long-running task when no other order shows that orders are
     * late.
     */
    @Test
    public void runsNoLastingTaskTwiceWhereNothingElseIsLate() {
      JobSimulation simulation = longRunningFleet();
      final long arrives = simulation.now + 11_000;
      delay(simulation, arrives, LastingLateStartTest::lateOnFirst);
      submitLost(simulation);
      crashUntilJustBefore(simulation, arrives);
      simulation.run(30_000);
      assertEquals(running(simulation), 3);
    }
  }

  /** Leaders that do not know which orders their predecessor sent. */
  public static class Takeover {

    /**
     * Guards against a next leader that starts a long-running task elsewhere while its late start
     * may arrive.
     */
    @Test
    public void startsNoTaskElsewhereWhenOrdersAreLate() {
      JobSimulation simulation = longRunningFleet();
      final long arrives = simulation.now + 11_000;
      delay(simulation, arrives, start -> lateOnFirst(start) || ofOther(start));
      submitLost(simulation);
      crashUntilJustBefore(simulation, arrives);
      simulation.killLeader();
      simulation.run(1_000);
      simulation.takeOver();
      simulation.submit(job(OTHER, step(1, 2, List.of())));
      simulation.run(30_000);
      assertEquals(running(simulation), 4);
    }
  }
}
