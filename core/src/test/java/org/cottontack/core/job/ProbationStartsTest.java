package org.cottontack.core.job;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.Test;

/** Tests of the time between starts of tasks that may crash their workers. */
public class ProbationStartsTest {

  /** Largest time between two such starts, in milliseconds. */
  private static final long GAP_MILLIS = 300;

  private static Task waitingSuspect(int number) {
    Job job = new Job(JobFixtures.job("job" + number, TestStep.tasks(1).of()), 0);
    job.advance(0);
    Task task = job.tasks().findFirst().orElseThrow();
    task.crashes = CrashBlame.SUSPECT_CRASHES;
    task.place(WorkerIncarnation.withUniqueIdentifier(new WorkerId("w" + number)), 0);
    task.order = Task.Order.RESEND;
    return task;
  }

  /** Guards against suspects of ended jobs that shorten the time between starts of the others. */
  @Test
  public void releasedTasksNoLongerWait() {
    ProbationStarts starts = new ProbationStarts();
    Task first = waitingSuspect(0);
    assertTrue(starts.mayStart(first, 0));
    starts.sent(first, 0);
    List<Task> ended = IntStream.range(1, 30).mapToObj(i -> waitingSuspect(i)).toList();
    ended.forEach(task -> starts.mayStart(task, 0));
    ended.forEach(Task::release);
    Task last = waitingSuspect(30);
    assertFalse(starts.mayStart(last, GAP_MILLIS - 1));
    assertTrue(starts.mayStart(last, GAP_MILLIS));
  }
}
