package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.Test;

/** Tests of starts that a worker left unanswered although it answered a later poll. */
public class IgnoredStartsTest {

  private static final long SENT_MILLIS = 20_000;

  /** For how long the absence of a task is tolerated after an ignored start. */
  public static class Tolerated {

    /** When no start can be carried out any more, and 7 s without a disturbance have passed. */
    private static final long UNDISTURBED_SINCE_MILLIS =
        SENT_MILLIS + LateStart.LATEST_MILLIS + 7_000;

    /** Guards against a task that is kept from running although nothing is disturbed. */
    @Test
    public void endsAfterUndisturbedPeriod() {
      IgnoredStarts ignored = new IgnoredStarts();
      assertFalse(ignored.toleratesAbsence(SENT_MILLIS));
      ignored.add(SENT_MILLIS);
      assertTrue(ignored.toleratesAbsence(UNDISTURBED_SINCE_MILLIS));
      assertFalse(ignored.toleratesAbsence(UNDISTURBED_SINCE_MILLIS + 1));
    }

    /** Guards against a report of an early start that replaces a later one. */
    @Test
    public void dependsOnLatestStart() {
      IgnoredStarts ignored = new IgnoredStarts();
      assertTrue(ignored.add(SENT_MILLIS));
      assertFalse(ignored.add(SENT_MILLIS - 1_000));
      assertTrue(ignored.toleratesAbsence(UNDISTURBED_SINCE_MILLIS));
    }
  }

  /** How an ignored start is detected. */
  public static class Detection {

    private static Task sent() {
      Job job = new Job(job("a", step(1, 2, List.of(), StepSpec.Trait.LASTS)), 0);
      job.advance(0);
      Task task = job.tasks().findFirst().orElseThrow();
      task.place(new WorkerIncarnation(new WorkerId("w0"), 7), SENT_MILLIS - 20);
      task.sent(SENT_MILLIS);
      return task;
    }

    /** Guards against orders that count as late because an older poll was answered. */
    @Test
    public void needsLaterPoll() {
      Task task = sent();
      task.notListed(SENT_MILLIS);
      task.unanswered();
      assertFalse(task.startIgnored());
      task.notListed(SENT_MILLIS + 1);
      assertTrue(task.startIgnored());
    }

    /** Guards against orders that count as late while an answer may be in flight. */
    @Test
    public void needsStartWithoutAnswer() {
      Task task = sent();
      task.notListed(SENT_MILLIS + 50);
      assertFalse(task.startIgnored());
      task.unanswered();
      assertTrue(task.startIgnored());
    }

    /** Guards against a start that is forgotten once a duplicate of it is answered. */
    @Test
    public void detectedWhenDuplicateIsAnswered() {
      Task task = sent();
      task.unanswered();
      task.sent(SENT_MILLIS + 1_000);
      assertFalse(task.startIgnored());
      task.startAnswered();
      assertTrue(task.startIgnored());
      assertEquals(task.unansweredMillis(), SENT_MILLIS);
    }

    /** Guards against a run that counts as ignored before its start was sent. */
    @Test
    public void needsStartThatWasSent() {
      Task task = sent();
      task.release();
      task.place(new WorkerIncarnation(new WorkerId("w1"), 7), SENT_MILLIS + 100);
      task.notListed(SENT_MILLIS + 200);
      task.sent(SENT_MILLIS + 300);
      task.unanswered();
      assertFalse(task.startIgnored());
    }

    /** Guards against ignored starts that change for how long a batch task is pinned. */
    @Test
    public void changesNothingForBatchTasks() {
      IgnoredStarts ignored = new IgnoredStarts();
      WorkerIncarnation incarnation = new WorkerIncarnation(new WorkerId("w0"), 7);
      LateStart start = LateStart.sent(incarnation, step(1, 2, List.of()), SENT_MILLIS);
      assertEquals(start.pinEndMillis(ignored), SENT_MILLIS + LateStart.LATEST_MILLIS);
      ignored.add(SENT_MILLIS);
      assertEquals(start.pinEndMillis(ignored), SENT_MILLIS + LateStart.LATEST_MILLIS);
    }
  }
}
