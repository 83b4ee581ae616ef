package org.cottontack.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.cottontack.core.id.WorkerId;
import org.testng.annotations.Test;

/** Tests of which runs may begin while completions may be suppressed. */
public class SuppressedCompletionsTest {

  private static final StepSpec TASK = TestStep.tasks(1).of();
  private static final StepSpec LONG_RUNNING = TestStep.tasks(1).of(StepSpec.Trait.LASTS);
  private static final StepSpec SPECULATIVE = TestStep.tasks(1).of(StepSpec.Trait.SPECULATIVE);
  private static final StepSpec SHORT = TestStep.tasks(1).estimate(50).of();
  private static final StepSpec VERY_SHORT = TestStep.tasks(1).estimate(49).of();

  private static final long NOW = 1_000;

  /** Returns a task whose run began with a lease that ends before the run can be done. */
  private static Task begunWithShortLease() {
    Task task = begun();
    task.shortLease = true;
    return task;
  }

  private static Task begun() {
    Job job = new Job(JobFixtures.job("job", TASK), 0);
    job.advance(0);
    Task task = job.tasks().findFirst().orElseThrow();
    begin(task);
    return task;
  }

  private static void begin(Task task) {
    task.place(WorkerIncarnation.withUniqueIdentifier(new WorkerId("w")), 0);
    task.sent(0);
    task.began = true;
  }

  private static SuppressedCompletions suppressedUpTo(long number) {
    SuppressedCompletions completions = new SuppressedCompletions();
    completions.suppressUpTo(number);
    return completions;
  }

  /** Tasks that may begin. */
  public static class Admitting {

    /** Guards against restrictions where nothing is suppressed. */
    @Test
    public void admitsAllWhenNothingIsSuppressed() {
      SuppressedCompletions completions = suppressedUpTo(0);
      assertTrue(completions.admits(TASK, true, false, false, NOW));
      assertFalse(completions.appliesTo(TASK));
    }

    /** Guards against two runs at a time of tasks that must not run again. */
    @Test
    public void admitsOneRunThatMustNotRepeat() {
      SuppressedCompletions completions = suppressedUpTo(3);
      assertTrue(completions.admits(TASK, false, true, false, NOW));
      assertFalse(completions.admits(TASK, true, false, false, NOW));
      assertTrue(completions.appliesTo(TASK));
    }

    /**
     * Guards against a short-lease run that continues because of the lease of a service or of an
     * earlier poll.
     */
    @Test
    public void admitsNoRunThatMustNotRepeatBesideLease() {
      SuppressedCompletions completions = suppressedUpTo(3);
      assertFalse(completions.admits(TASK, false, false, false, NOW));
      completions.leasedUntil(NOW + 1);
      assertFalse(completions.admits(TASK, false, true, false, NOW));
      assertTrue(completions.admits(TASK, false, true, false, NOW + 1));
    }

    /**
     * Guards against a service that brings a lease to a short-lease run, which is to end by its own
     * lease.
     */
    @Test
    public void admitsNoLeaseBesideShortLeaseRun() {
      SuppressedCompletions completions = suppressedUpTo(3);
      assertFalse(completions.admits(LONG_RUNNING, true, false, false, NOW));
      assertFalse(completions.admits(SPECULATIVE, true, false, false, NOW));
    }

    /** Guards against a run that is done before its short lease ends, however late starts are. */
    @Test
    public void leavesNoTimeToBeDone() {
      for (long millis = 50; millis <= 1_000; millis += 10) {
        StepSpec spec = TestStep.tasks(1).estimate(millis).of();
        SuppressedCompletions completions = suppressedUpTo(3);
        assertTrue(completions.admits(spec, false, true, false, NOW));
        do {
          assertTrue(2 * completions.shortLeaseMillis(spec) <= millis, "of " + millis);
        } while (completions.lengthenLease(spec));
        assertTrue(2 * completions.shortLeaseMillis(spec) <= millis, "of " + millis);
      }
    }

    /** Guards against leases that are longer than it takes starts to arrive. */
    @Test
    public void lengthensLeasesOnlyAsStartsComeLate() {
      SuppressedCompletions completions = suppressedUpTo(3);
      final long first = completions.shortLeaseMillis(TASK);
      assertTrue(completions.lengthenLease(TASK));
      assertEquals(completions.shortLeaseMillis(TASK), 2 * first);
      completions.startArrived();
      completions.startArrived();
      assertEquals(completions.shortLeaseMillis(TASK), first);
    }

    /** Guards against a very short task that begins although longer ones may show a completion. */
    @Test
    public void admitsVeryShortTaskAfterLongerOnes() {
      SuppressedCompletions completions = suppressedUpTo(3);
      completions.awaitLongTasksUntil(NOW + 1);
      assertFalse(completions.admits(VERY_SHORT, false, true, false, NOW));
      assertTrue(completions.admits(VERY_SHORT, false, true, false, NOW + 1));
    }

    /**
     * Guards against a short run that shares the lease of a service and is done before its stop.
     */
    @Test
    public void admitsShortTaskBesideServiceAfterLongerOnes() {
      SuppressedCompletions completions = suppressedUpTo(3);
      completions.awaitLongTasksUntil(NOW + 1);
      assertTrue(completions.admits(TASK, false, true, true, NOW));
      assertFalse(completions.admits(SHORT, false, true, true, NOW));
      assertTrue(completions.admits(SHORT, false, true, true, NOW + 1));
    }

    /** Guards against stopping services and speculative copies, whose completions do not matter. */
    @Test
    public void admitsTasksThatMayRunAgain() {
      SuppressedCompletions completions = SuppressedCompletions.any(NOW + 1);
      assertTrue(completions.admits(LONG_RUNNING, false, false, false, NOW));
      assertTrue(completions.admits(SPECULATIVE, false, false, false, NOW));
      assertFalse(completions.appliesTo(LONG_RUNNING) || completions.appliesTo(SPECULATIVE));
    }
  }

  /** Events that show that completions are listed again. */
  public static class Clearing {

    /** Guards against a worker that stays restricted although it lists completions. */
    @Test
    public void endsWithFirstListedCompletion() {
      SuppressedCompletions completions = suppressedUpTo(SuppressedCompletions.ANY);
      completions.listed();
      assertTrue(completions.none());
    }

    /** Guards against a worker that stays restricted when all suppressed numbers are used. */
    @Test
    public void endsWhenSuppressedNumbersAreUsed() {
      SuppressedCompletions completions = suppressedUpTo(2);
      for (int i = 0; i < 2; i++) {
        assertFalse(completions.none());
        assertFalse(completions.recordMissingRun(begunWithShortLease()));
      }
      assertTrue(completions.none());
    }

    /** Guards against a run that counts as not done although other leases were in force. */
    @Test
    public void countsNoRunThatMayHaveBeenDone() {
      SuppressedCompletions completions = suppressedUpTo(1);
      assertTrue(completions.recordMissingRun(begun()));
      assertFalse(completions.none());
    }

    /** Guards against a short-lease run that is counted in place of a later run of its task. */
    @Test
    public void countsEachRunOnce() {
      SuppressedCompletions completions = suppressedUpTo(2);
      Task task = begunWithShortLease();
      assertFalse(completions.recordMissingRun(task));
      begin(task);
      assertTrue(completions.recordMissingRun(task));
      task.shortLease = true;
      task.mayRunOn(WorkerIncarnation.withUniqueIdentifier(new WorkerId("w")), NOW);
      assertTrue(completions.recordMissingRun(task));
    }

    /** Guards against numbers that are used up by runs that never began. */
    @Test
    public void keepsNumberOfRunThatNeverBegan() {
      SuppressedCompletions completions = suppressedUpTo(1);
      Task task = begunWithShortLease();
      task.began = false;
      assertFalse(completions.recordMissingRun(task));
      assertFalse(completions.none());
    }

    /** Guards against a highest number that is replaced by a lower one. */
    @Test
    public void keepsHighestNumber() {
      SuppressedCompletions completions = suppressedUpTo(2);
      completions.suppressUpTo(1);
      assertFalse(completions.recordMissingRun(begunWithShortLease()));
      assertFalse(completions.none());
    }
  }
}
