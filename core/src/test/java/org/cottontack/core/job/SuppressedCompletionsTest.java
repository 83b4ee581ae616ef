package org.cottontack.core.job;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.cottontack.core.id.WorkerId;
import org.testng.annotations.Test;

/** Tests of what begins where ends may not be listed. */
public class SuppressedCompletionsTest {

  private static final StepSpec TASK = TestStep.tasks(1).of();
  private static final StepSpec LASTING = TestStep.tasks(1).of(StepSpec.Trait.LASTS);
  private static final StepSpec COPIED = TestStep.tasks(1).of(StepSpec.Trait.SPECULATIVE);
  private static final StepSpec BRIEF = TestStep.tasks(1).estimate(50).of();

  private static final long NOW = 1_000;

  /** Returns a task whose run began, with a lease that ends it before it can be done. */
  private static Task brief() {
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

  private static SuppressedCompletions upTo(long number) {
    SuppressedCompletions ends = new SuppressedCompletions();
    ends.suppressUpTo(number);
    return ends;
  }

  /** What may begin. */
  public static class Admitting {

    /** Guards against restrictions where nothing is hidden. */
    @Test
    public void admitsAllWhereNothingIsHidden() {
      SuppressedCompletions ends = upTo(0);
      assertTrue(ends.admits(TASK, true, false, NOW));
      assertFalse(ends.appliesTo(TASK));
    }

    /** Guards against two runs at a time whose ends matter. */
    @Test
    public void admitsOneRunThatMatters() {
      SuppressedCompletions ends = upTo(3);
      assertTrue(ends.admits(TASK, false, true, NOW));
      assertFalse(ends.admits(TASK, true, false, NOW));
      assertTrue(ends.appliesTo(TASK));
    }

    /** Guards against a run that goes on by the lease of a service or of an earlier look. */
    @Test
    public void admitsNoRunThatMattersBesideLease() {
      SuppressedCompletions ends = upTo(3);
      assertFalse(ends.admits(TASK, false, false, NOW));
      ends.leasedUntil(NOW + 1);
      assertFalse(ends.admits(TASK, false, true, NOW));
      assertTrue(ends.admits(TASK, false, true, NOW + 1));
    }

    /** Guards against a lease that a service brings to a run which is to end by its own. */
    @Test
    public void admitsNoLeaseBesideRunThatMatters() {
      SuppressedCompletions ends = upTo(3);
      assertFalse(ends.admits(LASTING, true, false, NOW));
      assertFalse(ends.admits(COPIED, true, false, NOW));
    }

    /** Guards against a run that is done before its lease ends. */
    @Test
    public void admitsNoBriefRun() {
      assertFalse(upTo(3).admits(BRIEF, false, true, NOW));
    }

    /** Guards against stopped services and copies, whose ends say nothing. */
    @Test
    public void admitsWhatMayRunAgain() {
      SuppressedCompletions ends = SuppressedCompletions.any(NOW + 1);
      assertTrue(ends.admits(LASTING, false, false, NOW));
      assertTrue(ends.admits(COPIED, false, false, NOW));
      assertFalse(ends.appliesTo(LASTING) || ends.appliesTo(COPIED));
    }
  }

  /** What shows that ends are listed again. */
  public static class Clearing {

    /** Guards against a worker that stays restricted though it lists ends. */
    @Test
    public void endsWithFirstListedEnd() {
      SuppressedCompletions ends = upTo(SuppressedCompletions.ANY);
      ends.listed();
      assertTrue(ends.none());
    }

    /** Guards against a worker that stays restricted when all hidden numbers are used up. */
    @Test
    public void endsWhenHiddenNumbersAreUsed() {
      SuppressedCompletions ends = upTo(2);
      for (int i = 0; i < 2; i++) {
        assertFalse(ends.none());
        assertFalse(ends.recordMissingRun(brief()));
      }
      assertTrue(ends.none());
    }

    /** Guards against a run taken for undone though other leases were in force. */
    @Test
    public void countsNoRunThatMayHaveBeenDone() {
      SuppressedCompletions ends = upTo(1);
      assertTrue(ends.recordMissingRun(begun()));
      assertFalse(ends.none());
    }

    /** Guards against a brief run that stands for a later one of its task. */
    @Test
    public void countsEachRunOnce() {
      SuppressedCompletions ends = upTo(2);
      Task task = brief();
      assertFalse(ends.recordMissingRun(task));
      begin(task);
      assertTrue(ends.recordMissingRun(task));
      task.shortLease = true;
      task.mayRunOn(WorkerIncarnation.withUniqueIdentifier(new WorkerId("w")), NOW);
      assertTrue(ends.recordMissingRun(task));
    }

    /** Guards against numbers that are used up by runs that never began. */
    @Test
    public void keepsNumberOfRunThatNeverBegan() {
      SuppressedCompletions ends = upTo(1);
      Task task = brief();
      task.began = false;
      assertFalse(ends.recordMissingRun(task));
      assertFalse(ends.none());
    }

    /** Guards against a highest number that a lower one replaces. */
    @Test
    public void keepsHighestNumber() {
      SuppressedCompletions ends = upTo(2);
      ends.suppressUpTo(1);
      assertFalse(ends.recordMissingRun(brief()));
      assertFalse(ends.none());
    }
  }
}
