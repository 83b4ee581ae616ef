package org.cottontack.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.Test;

/** Tests of which run is blamed for a worker's crash. */
public class CrashBlameTest {

  private static final JobQueue QUEUE =
      new JobQueue("queue", "host", "/jobs/", "pool", 0, 2, 1.5, 250, false);

  private static Task placed(String id, int crashes, StepSpec.Trait... traits) {
    List<StepSpec> steps = List.of(TestStep.tasks(1).of(traits));
    JobSpec spec = new JobSpec(new JobId(id), QUEUE, "payload", steps, JobSpec.Schedule.AT_ONCE);
    Job job = new Job(spec, 0);
    job.advance(0);
    Task task = job.tasks().findFirst().orElseThrow();
    task.place(WorkerIncarnation.withUniqueIdentifier(new WorkerId("w")), 1_000);
    task.order = Task.Order.CONFIRMED;
    task.crashes = crashes;
    return task;
  }

  private static Task listed(Task task, long forMillis) {
    task.listedMillis = task.placedMillis + forMillis;
    return task;
  }

  /** Which task is blamed. */
  public static class Blaming {

    /** After a first crash nothing distinguishes one run from the others. */
    @Test
    public void blamesNobodyForFirstCrash() {
      Task task = placed("a", 0);
      Task other = placed("b", 0);
      assertEquals(CrashBlame.crashed(List.of(task, other)), List.of());
      assertEquals(List.of(task.crashes, task.blamed), List.of(1, 0));
      assertEquals(List.of(other.crashes, other.blamed), List.of(1, 0));
    }

    @Test
    public void blamesTheOneThatLostMoreWorkersBefore() {
      Task task = placed("a", 2);
      Task other = placed("b", 1);
      CrashBlame.crashed(List.of(task, other));
      assertEquals(List.of(task.blamed, other.blamed), List.of(1, 0));
    }

    @Test
    public void blamesNoneOfEquals() {
      Task task = placed("a", 2);
      Task other = placed("b", 2);
      CrashBlame.crashed(List.of(task, other));
      assertEquals(List.of(task.blamed, other.blamed), List.of(0, 0));
    }

    /** A run that survives for a while is an unlikely cause if another has just begun beside it. */
    @Test
    public void blamesNoListedRunBesideOneThatJustBegan() {
      Task task = listed(placed("a", 2), 300);
      Task other = placed("b", 1);
      CrashBlame.crashed(List.of(task, other));
      assertEquals(List.of(task.blamed, other.blamed), List.of(0, 0));
    }

    /** An order that was never sent started nothing. */
    @Test
    public void ignoresWhatCannotHaveBegun() {
      Task task = placed("a", 2);
      task.order = Task.Order.UNSAVED;
      CrashBlame.crashed(List.of(task));
      assertEquals(List.of(task.crashes, task.blamed), List.of(2, 0));
    }

    /** A long-running task sees many workers crash in a day. */
    @Test
    public void ignoresLongRunningTasksThatWereListed() {
      Task task = listed(placed("a", 2, StepSpec.Trait.LASTS), 1_500);
      CrashBlame.crashed(List.of(task));
      assertEquals(List.of(task.crashes, task.blamed), List.of(2, 0));
    }
  }

  /** Which task is abandoned. */
  public static class Abandoning {

    @Test
    public void afterItWasBlamedTwice() {
      Task task = placed("a", 1);
      assertEquals(CrashBlame.crashed(List.of(task)), List.of());
      assertEquals(CrashBlame.crashed(List.of(task)), List.of(task));
    }

    /** The platform allows no sixth start, whatever ran beside the others. */
    @Test
    public void afterFiveCrashes() {
      Task task = placed("a", 4);
      Task other = placed("b", 4);
      assertEquals(CrashBlame.crashed(List.of(task, other)), List.of(task, other));
    }
  }

  /** Where suspects run. */
  public static class Placing {

    private static Worker worker(Task... tasks) {
      Worker worker = TestWorker.with(tasks);
      worker.everAnswered = true;
      return worker;
    }

    private static boolean canBePlaced(Task task, Worker worker) {
      WorkerSelector workerSelector = new WorkerSelector(new LearnedInterference());
      return workerSelector.choose(task, QUEUE, List.of(worker), 0).isPresent();
    }

    /**
     * Guards against two tasks that each lost two workers and start on the same one. Both would
     * lose a third worker, and neither could be distinguished from the other.
     */
    @Test
    public void keepsSuspectsApart() {
      Task suspect = placed("a", 2);
      assertTrue(canBePlaced(suspect, worker(placed("b", 1))));
      assertEquals(canBePlaced(suspect, worker(placed("b", 2))), false);
    }

    @Test
    public void placesOtherTasksBesideSuspects() {
      assertTrue(canBePlaced(placed("a", 1), worker(placed("b", 2))));
    }
  }
}
