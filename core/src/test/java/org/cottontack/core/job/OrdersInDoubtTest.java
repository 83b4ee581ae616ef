package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.RESTART_MILLIS;
import static org.cottontack.core.job.JobFixtures.assertComplete;
import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.restartingFleet;
import static org.cottontack.core.job.JobFixtures.step;
import static org.cottontack.core.job.JobFixtures.submit;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.Predicate;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.Test;

/** Tests of runs whose end is hidden from a leader that cannot know what became of them. */
public class OrdersInDoubtTest {

  /** How long before a late look a worker is back: too short for its leader to ask it. */
  private static final long BACK_BEFORE_MILLIS = 20;

  private static final WorkerId FIRST = new WorkerId("w0");

  private static JobSimulation fleet() {
    JobSimulation lab = restartingFleet(1);
    lab.listsCrashedWorkers = true;
    lab.run(1_000);
    return lab;
  }

  private static void until(JobSimulation lab, long millis) {
    lab.run(Math.max(0, millis - lab.now));
  }

  private static boolean acknowledges(JobEffect effect) {
    return effect instanceof JobEffect.LookAtWorker look && look.acknowledged() > 0;
  }

  /** Has the next acknowledgement carried out so late; returns when. */
  private static long acknowledgeLate(JobSimulation lab, long delay) {
    lab.delay = effect -> acknowledges(effect) ? delay : 0;
    for (int i = 0;
        i < 1_000 && lab.seen.stream().noneMatch(OrdersInDoubtTest::acknowledges);
        i++) {
      lab.run(10);
    }
    final long arrives = lab.now + delay;
    lab.run(10);
    lab.delay = effect -> 0;
    return arrives;
  }

  private static void crashSoThatItIsBackAt(JobSimulation lab, long millis) {
    until(lab, millis - RESTART_MILLIS);
    lab.crash(lab.workers.get(FIRST));
    until(lab, millis);
  }

  /** A start and an acknowledgement that both reach the next life before it is asked. */
  public static class BothInDoubt {

    /**
     * Plays a start that arrives at the next life, as does the acknowledgement that hides its end.
     *
     * @param afterMillis how long after that life began the start arrives
     * @param workMillis how long its run takes
     * @param lost which orders to that life are lost for 3 s
     */
    private static void assertDoneOnce(
        long afterMillis, long workMillis, Predicate<JobEffect> lost) {
      JobSimulation lab = fleet();
      final List<JobSpec> before = submit(lab, "before", 2);
      final long arrives = acknowledgeLate(lab, 4_000);
      final long born = arrives - BACK_BEFORE_MILLIS;
      until(lab, born - RESTART_MILLIS - 100);
      long held = born + afterMillis + BACK_BEFORE_MILLIS - lab.now;
      lab.delay = effect -> effect instanceof JobEffect.StartRun ? held : 0;
      final JobSpec late = job("late", step(1, 2, List.of()));
      lab.submit(late);
      lab.run(50);
      lab.delay = effect -> 0;
      lab.workMillis = workMillis;
      crashSoThatItIsBackAt(lab, born);
      lab.lost = lost;
      lab.run(3_000);
      lab.lost = effect -> false;
      lab.workMillis = 500;
      lab.run(30_000);
      assertTrue(lab.workers.get(FIRST).lastAcknowledgedCompletion() > 0);
      assertComplete(lab, before);
      assertComplete(lab, List.of(late));
    }

    /** Guards against a late run that is done unseen, or before its prompt stop, and runs again. */
    @Test
    public void runsNothingAgainThatBeganLate() {
      for (long after = 0; after <= 250; after += 50) {
        assertDoneOnce(after, 150, effect -> false);
        assertDoneOnce(
            after,
            500,
            effect -> effect instanceof JobEffect.StopRun stop && stop.run().run() == 1);
      }
    }
  }

  /** Runs that take less than their caller says. */
  public static class ShorterThanExpected {

    /** Guards against a run that is done before the lease that is to end it does. */
    @Test
    public void runsNothingAgainThatIsDoneAtOnce() {
      JobSimulation lab = fleet();
      final List<JobSpec> before = submit(lab, "before", 2);
      final long arrives = acknowledgeLate(lab, 3_000);
      crashSoThatItIsBackAt(lab, arrives - BACK_BEFORE_MILLIS);
      lab.run(RESTART_MILLIS + 1_500);
      lab.workMillis = 10;
      final List<JobSpec> after = submit(lab, "after", 4);
      lab.run(40_000);
      assertComplete(lab, before);
      assertComplete(lab, after);
    }
  }
}
