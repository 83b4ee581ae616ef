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

/** Tests of lasting tasks whose start has no answer when their worker is lost. */
public class LastingLateStartTest {

  private static final WorkerId SECOND = new WorkerId("w1");
  private static final String LOST = "lost";
  private static final String OTHER = "other";

  /** How long before a late start a worker is back: too short for its leader to ask it. */
  private static final long BACK_BEFORE_MILLIS = 20;

  /** Time within which an order gets no answer before its sender gives up, in milliseconds. */
  private static final long UNANSWERED_MILLIS = 900;

  /** Longest absence of a lasting task after a crash that nothing else goes with. */
  private static final long CRASH_BEARABLE_MILLIS = 9_000;

  /** Longest absence of a lasting task once nothing is disturbed any more, in milliseconds. */
  private static final long CALM_BEARABLE_MILLIS = 3_000;

  private static StepSpec lasting(int count) {
    return step(count, 2, List.of(), StepSpec.Trait.LASTS);
  }

  private static JobSimulation lastingFleet() {
    JobSimulation lab = fleet();
    lab.workMillis = 600_000;
    return lab;
  }

  private static long running(JobSimulation lab) {
    return lab.workers.values().stream().mapToLong(SimulatedWorker::count).sum();
  }

  /** Has starts of lasting tasks carried out late on the worker that is lost. */
  private static boolean lateOnFirst(JobEffect.StartRun start) {
    return start.run().task().job().value().equals(LOST)
        && start.target().incarnation().worker().equals(FIRST);
  }

  private static boolean ofOther(JobEffect.StartRun start) {
    return start.run().task().job().value().equals(OTHER);
  }

  private static void delay(
      JobSimulation lab, long arrivesMillis, Predicate<JobEffect.StartRun> delayed) {
    lab.delay =
        effect ->
            effect instanceof JobEffect.StartRun start && delayed.test(start)
                ? arrivesMillis - lab.now
                : 0;
  }

  /** Submits lasting tasks, and returns as soon as their starts have left. */
  private static void submitLost(JobSimulation lab) {
    lab.submit(job(LOST, lasting(3)));
    while (lab.seen.stream().noneMatch(LastingLateStartTest::startsLost)) {
      lab.run(10);
    }
  }

  private static boolean startsLost(JobEffect effect) {
    return effect instanceof JobEffect.StartRun start && lateOnFirst(start);
  }

  /** Has the first worker back under its identifier just before a late start arrives. */
  private static void lostUntil(JobSimulation lab, long arrivesMillis) {
    lab.restartMillis = arrivesMillis - BACK_BEFORE_MILLIS - lab.now;
    crash(lab);
  }

  /** Workers that answer a question and leave the start unanswered before they are lost. */
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

    /** Guards against a lasting task beside its start, whenever that comes. */
    @Test(dataProvider = "moments")
    public void runsNoLastingTaskTwice(long late, long lost) {
      JobSimulation lab = lastingFleet();
      final long arrives = lab.now + late;
      lab.delay = effect -> effect instanceof JobEffect.StartRun ? arrives - lab.now : 0;
      lab.submit(job("late", lasting(3)));
      lab.run(lost);
      lab.delay = effect -> 0;
      lostUntil(lab, arrives);
      lab.run(30_000);
      assertEquals(running(lab), 3);
    }

    /** Guards against a lasting task beside the only start that is late. */
    @Test
    public void runsNoLastingTaskTwiceWhereOnlyItsStartIsLate() {
      JobSimulation lab = lastingFleet();
      final long arrives = lab.now + 11_000;
      delay(lab, arrives, LastingLateStartTest::lateOnFirst);
      submitLost(lab);
      lab.run(300);
      lostUntil(lab, arrives);
      lab.run(30_000);
      assertEquals(running(lab), 3);
    }

    /** Guards against a start that is forgotten as its worker is back before it goes unanswered. */
    @Test
    public void runsNoLastingTaskTwiceWhereItsWorkerIsSoonBack() {
      JobSimulation lab = lastingFleet();
      final long arrives = lab.now + 11_000;
      delay(lab, arrives, LastingLateStartTest::lateOnFirst);
      submitLost(lab);
      lab.run(300);
      crash(lab);
      lab.run(RESTART_MILLIS + 50);
      lostUntil(lab, arrives);
      lab.run(30_000);
      assertEquals(running(lab), 3);
    }

    /** Guards against a start that is forgotten as its worker's next life is never heard. */
    @Test
    public void runsNoLastingTaskTwiceWhereNextLifeIsNotHeard() {
      JobSimulation lab = lastingFleet();
      lab.listsCrashedWorkers = false;
      final long arrives = lab.now + 11_800;
      delay(lab, arrives, LastingLateStartTest::lateOnFirst);
      submitLost(lab);
      lab.run(300);
      lab.restartMillis = 200;
      lab.delay = effect -> effect instanceof JobEffect.LookAtWorker ? 60_000 : 0;
      crash(lab);
      lab.run(lab.restartMillis + 50);
      lab.listsCrashedWorkers = true;
      lostUntil(lab, arrives);
      lab.run(50);
      lab.delay = effect -> 0;
      lab.run(30_000);
      assertEquals(running(lab), 3);
    }

    /** Guards against a lasting task that is away for longer than its start may take. */
    @Test
    public void keepsLastingTaskAwayNoLongerThanItsStartMayCome() {
      JobSimulation lab = lastingFleet();
      lab.restartMillis = 120_000;
      final long sent = lab.now;
      submitLate(lab, 30_000, lasting(3));
      crash(lab);
      lab.run(sent + LateStart.LATEST_MILLIS + CALM_BEARABLE_MILLIS - lab.now);
      assertEquals(lab.workers.get(SECOND).count(), 3);
    }

    /** Guards against a task that was at work and waits for a copy of its start once lost. */
    @Test
    public void keepsTaskThatWasAtWorkNoLongerThanLeases() {
      JobSimulation lab = lastingFleet();
      lab.restartMillis = 120_000;
      submitLate(lab, 30_000, lasting(3));
      lab.run(LateStart.LATEST_MILLIS);
      assertEquals(running(lab), 3);
      crash(lab);
      lab.run(CRASH_BEARABLE_MILLIS);
      assertEquals(lab.workers.get(SECOND).count(), 3);
    }
  }

  /** Workers that are lost together with the start, before they answer anything. */
  public static class CutShort {

    /** Guards against a lasting task that is away for longer than after any loss of its worker. */
    @Test
    public void keepsLastingTaskAwayNoLongerThanLeases() {
      JobSimulation lab = lastingFleet();
      lab.restartMillis = 120_000;
      delay(lab, lab.now + 30_000, LastingLateStartTest::lateOnFirst);
      submitLost(lab);
      crash(lab);
      lab.run(CRASH_BEARABLE_MILLIS);
      assertEquals(lab.workers.get(SECOND).count(), 3);
    }

    /** Guards against a lasting task beside its start where a start before it was ignored. */
    @Test
    public void runsNoLastingTaskTwiceWhereOrdersWereLate() {
      JobSimulation lab = lastingFleet();
      final long arrives = lab.now + 11_000;
      delay(lab, arrives, start -> lateOnFirst(start) || ofOther(start));
      lab.submit(job(OTHER, step(1, 2, List.of())));
      lab.run(UNANSWERED_MILLIS + 500);
      submitLost(lab);
      lostUntil(lab, arrives);
      lab.run(30_000);
      assertEquals(running(lab), 4);
    }

    /** Guards against a lasting task beside its start where a start after it is ignored. */
    @Test
    public void runsNoLastingTaskTwiceWhereOrdersAreLateSince() {
      JobSimulation lab = lastingFleet();
      final long arrives = lab.now + 11_000;
      delay(lab, arrives, start -> lateOnFirst(start) || ofOther(start));
      submitLost(lab);
      lostUntil(lab, arrives);
      lab.run(2_000);
      lab.submit(job(OTHER, step(1, 2, List.of())));
      lab.run(30_000);
      assertEquals(running(lab), 4);
    }

    /** Guards against a start on one worker that is mistaken for an earlier one on another. */
    @Test
    public void tellsStartFromOneThatItWaitedForNoLonger() {
      JobSimulation lab = lastingFleet();
      crash(lab);
      lab.run(3_000);
      final long arrives = lab.now + 20_500;
      lab.restartMillis = 9_300;
      delay(lab, arrives, start -> lateOnFirst(start) || start.run().run() > 1);
      submitLost(lab);
      crash(lab);
      while (lab.seen.stream().noneMatch(CutShort::startsAgain)) {
        lab.run(10);
      }
      lab.run(300);
      lab.delay = effect -> 0;
      lab.restartMillis = arrives - BACK_BEFORE_MILLIS - lab.now;
      lab.crash(lab.workers.get(SECOND));
      lab.run(30_000);
      assertEquals(running(lab), 3);
    }

    private static boolean startsAgain(JobEffect effect) {
      return effect instanceof JobEffect.StartRun start && start.run().run() > 1;
    }

    /** Guards against a lasting task beside its start where nothing else shows late orders. */
    @Test
    public void runsNoLastingTaskTwiceWhereNothingElseIsLate() {
      JobSimulation lab = lastingFleet();
      final long arrives = lab.now + 11_000;
      delay(lab, arrives, LastingLateStartTest::lateOnFirst);
      submitLost(lab);
      lostUntil(lab, arrives);
      lab.run(30_000);
      assertEquals(running(lab), 3);
    }
  }

  /** Leaders that do not know what the one before sent. */
  public static class Takeover {

    /** Guards against a next leader that starts a lasting task beside its start. */
    @Test
    public void startsNoLastingTaskElsewhereWhereOrdersAreLate() {
      JobSimulation lab = lastingFleet();
      final long arrives = lab.now + 11_000;
      delay(lab, arrives, start -> lateOnFirst(start) || ofOther(start));
      submitLost(lab);
      lostUntil(lab, arrives);
      lab.killLeader();
      lab.run(1_000);
      lab.takeOver();
      lab.submit(job(OTHER, step(1, 2, List.of())));
      lab.run(30_000);
      assertEquals(running(lab), 4);
    }
  }
}
