package org.cottontack.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the stored form of a job's progress. */
public class ProgressTextTest {

  private static final JobQueue QUEUE =
      new JobQueue("queue", "host", "/jobs/", "pool", 0, 2, 1.5, 250, false);

  private static Job job() {
    List<StepSpec> steps = List.of(TestStep.tasks(2).of());
    JobSpec spec = new JobSpec(new JobId("a"), QUEUE, "payload", steps, JobSpec.Schedule.AT_ONCE);
    Job job = new Job(spec, 0);
    job.advance(0);
    return job;
  }

  /** Writing and reading back. */
  public static class RoundTrip {

    /** Checkpoints that workers may send. */
    @DataProvider
    public Object[][] checkpoints() {
      return new Object[][] {{""}, {"00000bb87a21d94b"}, {"two words"}, {"a\nb c\n"}, {"50%+ä"}};
    }

    /**
     * Guards against checkpoints that are read as several lines. A worker may send any text; the
     * next leader must be able to read it and resume the run from exactly that checkpoint.
     */
    @Test(dataProvider = "checkpoints")
    public void keepsAnyCheckpoint(String checkpoint) {
      Job job = job();
      Task task = job.tasks().findFirst().orElseThrow();
      task.place(WorkerIncarnation.withUniqueIdentifier(new WorkerId("w")), 0);
      task.checkpoint = checkpoint;
      String text = ProgressText.write(job);
      assertTrue(StoredProgress.of(text).readable());
      assertFalse(StoredProgress.of(text).ended());
      Job next = job();
      ProgressText.restore(next, StoredProgress.of(text));
      assertEquals(next.tasks().findFirst().orElseThrow().checkpoint, checkpoint);
    }

    /**
     * Guards against counts of crashes that are lost at a change of leaders. If each leader counted
     * anew, a task that crashes its workers would never be stopped.
     */
    @Test
    public void keepsCrashes() {
      Job job = job();
      Task task = job.tasks().findFirst().orElseThrow();
      task.place(WorkerIncarnation.withUniqueIdentifier(new WorkerId("w")), 0);
      task.crashes = 3;
      task.blamed = 1;
      Job next = job();
      ProgressText.restore(next, StoredProgress.of(ProgressText.write(job)));
      Task restored = next.tasks().findFirst().orElseThrow();
      assertEquals(List.of(restored.crashes, restored.blamed), List.of(3, 1));
    }

    /**
     * Guards against a leader that takes a restarted worker for the incarnation that a task was
     * placed on.
     */
    @Test(dataProvider = "crashes")
    public void keepsIncarnationOfWorker(int crashes) {
      Job job = job();
      Task task = job.tasks().findFirst().orElseThrow();
      WorkerIncarnation incarnation = new WorkerIncarnation(new WorkerId("w"), 1_700_000_000_123L);
      task.place(incarnation, 0);
      task.crashes = crashes;
      Job next = job();
      ProgressText.restore(next, StoredProgress.of(ProgressText.write(job)));
      Task restored = next.tasks().findFirst().orElseThrow();
      assertEquals(restored.worker, incarnation);
      assertEquals(restored.crashes, crashes);
    }

    /** Guards against duplicate starts that the next leader does not know of. */
    @Test(dataProvider = "crashes")
    public void keepsThatDuplicateStartsMayCome(int crashes) {
      Job job = job();
      Task task = job.tasks().findFirst().orElseThrow();
      task.place(new WorkerIncarnation(new WorkerId("w"), 5), 0);
      task.crashes = crashes;
      task.prepareResend();
      Job next = job();
      ProgressText.restore(next, StoredProgress.of(ProgressText.write(job)));
      Task restored = next.tasks().findFirst().orElseThrow();
      assertTrue(restored.duplicateStartPossible);
      assertEquals(restored.worker, task.worker);
      assertEquals(restored.crashes, crashes);
    }

    /** Guards against jobs that an earlier version leaves alone: it reads "+5" as the number 5. */
    @Test
    public void marksPossibleDuplicatesBySignOfStartTime() {
      Job job = job();
      Task task = job.tasks().findFirst().orElseThrow();
      task.place(new WorkerIncarnation(new WorkerId("w"), 5), 0);
      assertEquals(ProgressText.write(job), "q\n0 0 0 p 1 0 w  5");
      task.prepareResend();
      assertEquals(ProgressText.write(job), "q\n0 0 0 p 1 0 w  +5");
    }

    /** Counts of crashes, including none. */
    @DataProvider
    public Object[][] crashes() {
      return new Object[][] {{0}, {2}};
    }

    /**
     * Guards against lines that an earlier version cannot read. A version without counts of crashes
     * leads in turn with this one during a rolling replacement.
     */
    @Test
    public void writesWhatEarlierVersionsReadWhereNothingCrashed() {
      Job job = job();
      job.tasks()
          .findFirst()
          .orElseThrow()
          .place(WorkerIncarnation.withUniqueIdentifier(new WorkerId("w")), 0);
      assertEquals(ProgressText.write(job), "q\n0 0 0 p 1 0 w ");
    }
  }

  /** Damaged texts, and those of another version. */
  public static class Unreadable {

    /** Texts that are no progress. */
    @DataProvider
    public Object[][] texts() {
      return new Object[][] {
        {""}, {"?"}, {"r\n0 0 0"}, {"r\n0 0 x p 1 0 w "}, {"r\n0 0 0 ? 1 0 w "},
      };
    }

    @Test(dataProvider = "texts")
    public void isNotReadable(String text) {
      assertFalse(StoredProgress.of(text).readable());
    }
  }
}
