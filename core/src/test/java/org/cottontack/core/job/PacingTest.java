package org.cottontack.core.job;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Set;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.load.LoadControl;
import org.cottontack.core.load.LoadPart;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when runs at a low pace are moved. */
public class PacingTest {

  private static final JobQueue QUEUE =
      new JobQueue("queue", "host", "/jobs/", "pool", 0, 2, 1.5, 250, false);
  private static final LoadControl FORECAST = new LoadControl(Set.of(LoadPart.FORECAST), 900, 100);

  private static Task task(StepSpec.Trait... traits) {
    List<StepSpec> steps = List.of(TestStep.tasks(1).image("batch").cpu(4_000).of(traits));
    JobSpec spec = new JobSpec(new JobId("job"), QUEUE, "", steps, JobSpec.Schedule.AT_ONCE);
    Job job = new Job(spec, 0);
    job.advance(0);
    Task task = job.tasks().findFirst().orElseThrow();
    task.place(WorkerIncarnation.withUniqueIdentifier(new WorkerId("w")), 0);
    task.order = Task.Order.CONFIRMED;
    return task;
  }

  /** A run that worked for 1.5 s without a checkpoint and was then halted. */
  public static class HaltedRun {

    private static final long HALTED_MILLIS = 1_500;

    @DataProvider
    static Object[][] moves() {
      return new Object[][] {
        {LoadControl.OFF, true, 1_800},
        {FORECAST, true, 550},
        {LoadControl.OFF, false, 1_800},
        {FORECAST, false, 1_800},
      };
    }

    /**
     * Guards against a move that is charged with work which the stop saves, so that the run stays
     * halted for too long; and against the loss of work where a stop saves none.
     */
    @Test(dataProvider = "moves")
    public void isMovedOnceItHasMissedWhatTheMoveCosts(
        LoadControl control, boolean checkpoints, long costMillis) {
      Task task =
          checkpoints
              ? task(StepSpec.Trait.FILLS, StepSpec.Trait.CHECKPOINTS)
              : task(StepSpec.Trait.FILLS);
      Worker worker = TestWorker.with(task);
      Pacing pacing = new Pacing(new LearnedInterference(), control);
      task.paced(0, HALTED_MILLIS);
      long dueMillis = HALTED_MILLIS + costMillis;
      assertEquals(pacing.runToMove(worker, dueMillis).isPresent(), false);
      assertEquals(pacing.runToMove(worker, dueMillis + 1).isPresent(), true);
    }
  }
}
