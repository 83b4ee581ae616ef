package org.cottontack.core.job;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.cottontack.core.id.WorkerId;
import org.testng.annotations.Test;

/** Tests of what begins where ends may not be listed. */
public class HiddenEndsTest {

  private static final StepSpec TASK = TestStep.tasks(1).of();
  private static final StepSpec LASTING = TestStep.tasks(1).of(StepSpec.Trait.LASTS);
  private static final StepSpec COPIED = TestStep.tasks(1).of(StepSpec.Trait.SPECULATIVE);
  private static final StepSpec BRIEF = TestStep.tasks(1).estimate(50).of();

  /** Returns a task whose run began and whose stop was answered so long after its start. */
  private static Task stopped(long afterMillis) {
    Task task = begun();
    task.stopAnswered(afterMillis);
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
    task.place(WorkerLife.only(new WorkerId("w")), 0);
    task.sent(0);
    task.began = true;
  }

  private static HiddenEnds upTo(long number) {
    HiddenEnds ends = new HiddenEnds();
    ends.upTo(number);
    return ends;
  }

  /** What may begin. */
  public static class Admitting {

    /** Guards against restrictions where nothing is hidden. */
    @Test
    public void admitsAllWhereNothingIsHidden() {
      HiddenEnds ends = upTo(0);
      assertTrue(ends.admits(TASK, true));
      assertFalse(ends.stops(TASK));
    }

    /** Guards against two runs at a time whose ends matter. */
    @Test
    public void admitsOneRunThatMatters() {
      HiddenEnds ends = upTo(3);
      assertTrue(ends.admits(TASK, false));
      assertFalse(ends.admits(TASK, true));
      assertTrue(ends.stops(TASK));
    }

    /** Guards against a probe that is done before it can be stopped. */
    @Test
    public void admitsNoBriefRun() {
      assertFalse(upTo(3).admits(BRIEF, false));
    }

    /** Guards against stopped services and copies, whose ends say nothing. */
    @Test
    public void admitsWhatMayRunAgain() {
      HiddenEnds ends = upTo(3);
      assertTrue(ends.admits(LASTING, true) && ends.admits(COPIED, true));
      assertFalse(ends.stops(LASTING) || ends.stops(COPIED));
    }
  }

  /** What shows that ends are listed again. */
  public static class Clearing {

    /** Guards against a worker that stays restricted though it lists ends. */
    @Test
    public void endsWithFirstListedEnd() {
      HiddenEnds ends = upTo(HiddenEnds.ANY);
      ends.listed();
      assertTrue(ends.none());
    }

    /** Guards against a worker that stays restricted when all hidden numbers are used up. */
    @Test
    public void endsWhenHiddenNumbersAreUsed() {
      HiddenEnds ends = upTo(2);
      for (int i = 0; i < 2; i++) {
        assertFalse(ends.none());
        assertFalse(ends.vanished(stopped(20)));
      }
      assertTrue(ends.none());
    }

    /** Guards against a run taken for stopped though it may have been done before. */
    @Test
    public void countsNoRunThatWasStoppedLate() {
      HiddenEnds ends = upTo(1);
      assertTrue(ends.vanished(stopped(900)));
      assertFalse(ends.none());
    }

    /** Guards against an early stop that stands for a later run. */
    @Test
    public void countsEachStopOnce() {
      HiddenEnds ends = upTo(2);
      Task task = stopped(20);
      assertFalse(ends.vanished(task));
      begin(task);
      assertTrue(ends.vanished(task));
      assertTrue(ends.vanished(begun()));
    }

    /** Guards against numbers that are used up by runs which a stop barred before they began. */
    @Test
    public void keepsNumberOfRunThatNeverBegan() {
      HiddenEnds ends = upTo(1);
      Task task = stopped(20);
      task.began = false;
      assertFalse(ends.vanished(task));
      assertFalse(ends.none());
    }

    /** Guards against a stop in time that the answer of a later one hides. */
    @Test
    public void countsFirstOfSeveralStops() {
      HiddenEnds ends = upTo(1);
      Task task = stopped(20);
      task.stopAnswered(900);
      assertFalse(ends.vanished(task));
      assertTrue(ends.none());
    }

    /** Guards against a highest number that a lower one replaces. */
    @Test
    public void keepsHighestNumber() {
      HiddenEnds ends = upTo(2);
      ends.upTo(1);
      assertFalse(ends.vanished(stopped(20)));
      assertFalse(ends.none());
    }
  }
}
