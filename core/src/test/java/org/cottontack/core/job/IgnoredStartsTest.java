package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.Test;

/** Tests of starts that a worker left unanswered though it answered a later question. */
public class IgnoredStartsTest {

  private static final long SENT_MILLIS = 20_000;

  /** For how long ignored starts excuse an absence. */
  public static class Excused {

    /** When no start can be carried out any more, and 7 s without a disturbance have passed. */
    private static final long CALM_SINCE_MILLIS = SENT_MILLIS + LateStart.LATEST_MILLIS + 7_000;

    /** Guards against a task that is kept away although nothing is disturbed. */
    @Test
    public void endsWithCalmSpan() {
      IgnoredStarts ignored = new IgnoredStarts();
      assertFalse(ignored.toleratesAbsence(SENT_MILLIS));
      ignored.add(SENT_MILLIS);
      assertTrue(ignored.toleratesAbsence(CALM_SINCE_MILLIS));
      assertFalse(ignored.toleratesAbsence(CALM_SINCE_MILLIS + 1));
    }

    /** Guards against news of an early start that hides a later one. */
    @Test
    public void lastsByLatestStart() {
      IgnoredStarts ignored = new IgnoredStarts();
      assertTrue(ignored.add(SENT_MILLIS));
      assertFalse(ignored.add(SENT_MILLIS - 1_000));
      assertTrue(ignored.toleratesAbsence(CALM_SINCE_MILLIS));
    }
  }

  /** What shows that a start was ignored. */
  public static class Shown {

    private static Task sent() {
      Job job = new Job(job("a", step(1, 2, List.of(), StepSpec.Trait.LASTS)), 0);
      job.advance(0);
      Task task = job.tasks().findFirst().orElseThrow();
      task.place(new WorkerIncarnation(new WorkerId("w0"), 7), SENT_MILLIS - 20);
      task.sent(SENT_MILLIS);
      return task;
    }

    /** Guards against orders that are taken for late since an older question was answered. */
    @Test
    public void needsLaterQuestion() {
      Task task = sent();
      task.notListed(SENT_MILLIS);
      task.unanswered();
      assertFalse(task.startIgnored());
      task.notListed(SENT_MILLIS + 1);
      assertTrue(task.startIgnored());
    }

    /** Guards against orders that are taken for late while an answer may be on its way. */
    @Test
    public void needsStartWithoutAnswer() {
      Task task = sent();
      task.notListed(SENT_MILLIS + 50);
      assertFalse(task.startIgnored());
      task.unanswered();
      assertTrue(task.startIgnored());
    }

    /** Guards against a start that is forgotten once a copy of it is answered. */
    @Test
    public void seenWhereCopyIsAnswered() {
      Task task = sent();
      task.unanswered();
      task.sent(SENT_MILLIS + 1_000);
      assertFalse(task.startIgnored());
      task.startAnswered();
      assertTrue(task.startIgnored());
      assertEquals(task.unansweredMillis(), SENT_MILLIS);
    }

    /** Guards against a run that counts as ignored before its start has left. */
    @Test
    public void needsStartThatLeft() {
      Task task = sent();
      task.release();
      task.place(new WorkerIncarnation(new WorkerId("w1"), 7), SENT_MILLIS + 100);
      task.notListed(SENT_MILLIS + 200);
      task.sent(SENT_MILLIS + 300);
      task.unanswered();
      assertFalse(task.startIgnored());
    }

    /** Guards against a batch task that is kept from other workers for a different time. */
    @Test
    public void changesNothingForBatchTasks() {
      IgnoredStarts ignored = new IgnoredStarts();
      WorkerIncarnation life = new WorkerIncarnation(new WorkerId("w0"), 7);
      LateStart start = LateStart.sent(life, step(1, 2, List.of()), SENT_MILLIS);
      assertEquals(start.pinEndMillis(ignored), SENT_MILLIS + LateStart.LATEST_MILLIS);
      ignored.add(SENT_MILLIS);
      assertEquals(start.pinEndMillis(ignored), SENT_MILLIS + LateStart.LATEST_MILLIS);
    }
  }
}
