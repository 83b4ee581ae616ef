package org.cottontack.core.task;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cottontack.core.id.RowName;
import org.cottontack.core.id.TaskId;
import org.cottontack.core.simulation.FakeWorker;
import org.cottontack.core.simulation.Node;
import org.cottontack.core.simulation.Simulation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a task runs in one place at a time, resumes once and ends once. */
public final class TaskTest {

  private TaskTest() {}

  /** A simulation with one entry instance and two workers. */
  public abstract static class OneInstance {

    Simulation simulation;
    Node node;
    FakeWorker left;
    FakeWorker right;

    /** Starts everything and waits until both workers are owned. */
    @BeforeMethod
    public void start() {
      simulation = new Simulation();
      left = simulation.worker("left", 8);
      right = simulation.worker("right", 8);
      node = simulation.start("a:1");
      simulation.until("owned", () -> node.state().tasks().loaded().size() == 2);
    }

    FakeWorker hostOf(String task) {
      return left.running(task) ? left : right;
    }

    void run(String task) {
      simulation.submit(node, task, "reconcile");
      simulation.until(task + " runs", () -> simulation.taskRuns(task));
      simulation.run(1_500);
    }

    int starts() {
      return left.started().size() + right.started().size();
    }

    void assertNoViolations() {
      assertEquals(simulation.violations(), List.of());
    }
  }

  /** Tasks without failures of workers or the store. */
  public static final class NormalOperation extends OneInstance {

    /** A submitted task runs once and ends, and its record moves to the ended tasks. */
    @Test
    public void runsOnceAndEnds() {
      run("t");
      hostOf("t").finish("t");
      simulation.until("it ends", () -> simulation.taskIs("t", TaskPhase.FINISHED));
      simulation.run(10_000);
      assertEquals(starts(), 1);
      assertTrue(node.state().tasks().tasks().isEmpty());
    }

    /** A repeated submission gets the same answer; another one with the same id is refused. */
    @Test
    public void submittingAgainIsIdempotent() {
      run("t");
      long again = simulation.submit(node, "t", "reconcile");
      long other = simulation.submit(node, "t", "recall");
      simulation.run(500);
      assertEquals(node.tickets.get(again).verdict(), TaskEffect.Verdict.DONE);
      assertEquals(node.tickets.get(other).verdict(), TaskEffect.Verdict.ID_TAKEN);
      assertEquals(starts(), 1);
    }

    /** A submission repeated after the task has ended does not run it again. */
    @Test
    public void submittingAgainAfterTheEndDoesNotRunIt() {
      run("t");
      hostOf("t").finish("t");
      simulation.until("it ends", () -> simulation.taskIs("t", TaskPhase.FINISHED));
      long again = simulation.submit(node, "t", "reconcile");
      simulation.run(5_000);
      assertEquals(node.tickets.get(again).verdict(), TaskEffect.Verdict.DONE);
      assertEquals(starts(), 1);
    }

    /** No worker gets more than its capacity, and waiting tasks run when capacity is free. */
    @Test
    public void usesAllCapacityButNoMore() {
      for (int i = 0; i < 10; i++) {
        simulation.submit(node, "t" + i, "reconcile");
      }
      simulation.run(5_000);
      assertEquals(starts(), 8);
      left.finish(left.started().get(0).task().value());
      simulation.run(3_000);
      assertEquals(starts(), 9);
      assertNoViolations();
    }

    /** Urgent tasks are placed before tasks that were submitted earlier. */
    @Test
    public void urgentGoesFirst() {
      for (int i = 0; i < 8; i++) {
        run("t" + i);
      }
      simulation.submit(node, "waits", "reconcile");
      simulation.submit(node, "urgent", "recall");
      simulation.run(500);
      left.finish(left.started().get(0).task().value());
      simulation.until(
          "one runs", () -> simulation.taskRuns("urgent") || simulation.taskRuns("waits"));
      assertTrue(simulation.taskRuns("urgent"));
    }
  }

  /** Tasks whose answers from the store or from workers are lost. */
  public static final class LostAnswers extends OneInstance {

    /**
     * Guards against a second start of a task whose placement takes effect while the answer to the
     * write is lost. The same write is sent again, conflicts with itself, and counts as done. One
     * start follows.
     */
    @Test
    public void placementWhoseAnswerIsLostIsMadeOnce() {
      simulation.submit(node, "t", "reconcile");
      simulation.run(30);
      node.storeAnswers = false;
      simulation.until("placed in the store", () -> simulation.taskIs("t", TaskPhase.PLACED));
      simulation.run(1_000);
      assertFalse(
          simulation.taskRuns("t"), "no order before the write is known to have taken effect");
      node.storeAnswers = true;
      simulation.until("it runs", () -> simulation.taskRuns("t"));
      simulation.run(10_000);
      assertEquals(starts(), 1);
      assertEquals(simulation.task("t").attempt(), 1);
    }

    /**
     * If the answer to a start is lost, the worker's report shows the run and nothing starts twice.
     */
    @Test
    public void startWhoseAnswerIsLostIsNotRepeatedElsewhere() {
      simulation.submit(node, "t", "reconcile");
      simulation.until("placed in the store", () -> simulation.taskIs("t", TaskPhase.PLACED));
      left.answers = false;
      right.answers = false;
      simulation.until("it runs", () -> simulation.taskRuns("t"));
      simulation.run(1_000);
      left.answers = true;
      right.answers = true;
      simulation.run(10_000);
      assertEquals(starts(), 1);
      assertNoViolations();
    }

    /**
     * Guards against a second start of a task whose start order is still in flight when the worker
     * reports that it does not have the task. The task must not be placed again until that order
     * has expired.
     */
    @Test
    public void reportsBeforeTheOrderArrivesDoNotRequeue() {
      node.startDelay = 450;
      simulation.submit(node, "t", "reconcile");
      simulation.run(15_000);
      assertEquals(starts(), 1);
      assertNoViolations();
    }

    /** The end of a task is recorded even if the answer to that write is lost. */
    @Test
    public void endWhoseAnswerIsLostIsRecordedOnce() {
      run("t");
      node.loseNextAnswerAbout = "ended/";
      hostOf("t").finish("t");
      simulation.until("it ends", () -> simulation.taskIs("t", TaskPhase.FINISHED));
      simulation.run(10_000);
      assertEquals(starts(), 1);
      assertTrue(node.state().tasks().tasks().isEmpty());
    }
  }

  /** Tasks whose workers fall silent, restart, leave, fail every attempt or run orphans. */
  public static final class WorkerFailures extends OneInstance {

    /**
     * An unreachable worker may still run its task. The task is placed elsewhere only after the
     * last renewal that can have reached the worker has expired. It then resumes from its
     * checkpoint, once.
     */
    @Test
    public void silentWorkersTaskWaitsForItsLease() {
      run("t");
      FakeWorker host = hostOf("t");
      host.receivesOrders = false;
      simulation.run(Simulation.TASK_LEASE - 1_000);
      assertEquals(starts(), 1);
      simulation.until("it runs again", () -> starts() == 2);
      assertFalse(host.running("t"));
      host.receivesOrders = true;
      simulation.run(15_000);
      assertEquals(starts(), 2);
      assertNoViolations();
    }

    /**
     * Guards against a batch of notices that is sent twice. Its worker falls silent and may have
     * sent all notices before the lease expired. Because the row is not idempotent, the task ends
     * in doubt and does not run again.
     */
    @Test
    public void notRepeatableTasksEndInDoubt() {
      simulation.submit(node, "n", "notice");
      simulation.until("it runs", () -> simulation.taskRuns("n"));
      simulation.run(1_500);
      FakeWorker host = hostOf("n");
      host.receivesOrders = false;
      simulation.until("in doubt", () -> simulation.taskIs("n", TaskPhase.IN_DOUBT));
      host.receivesOrders = true;
      simulation.run(15_000);
      assertEquals(starts(), 1);
      assertNoViolations();
    }

    /**
     * A task that may not be repeated resumes if it was stopped with a checkpoint before its end.
     */
    @Test
    public void notRepeatableTasksResumeFromCheckpoints() {
      simulation.submit(node, "n", "notice");
      simulation.until("it runs", () -> simulation.taskRuns("n"));
      simulation.run(1_500);
      simulation.markLeaving(hostOf("n") == left ? "left" : "right");
      simulation.until("it runs elsewhere", () -> starts() == 2);
      simulation.run(10_000);
      assertEquals(starts(), 2);
    }

    /** The tasks that a restarted worker lost resume on some worker, once each. */
    @Test
    public void restartedWorkersTasksResumeOnce() {
      run("t");
      hostOf("t").restart();
      simulation.until("it runs again", () -> starts() == 2);
      simulation.run(15_000);
      assertEquals(starts(), 2);
      assertEquals(simulation.task("t").attempt(), 2);
    }

    /** A leaving worker gets no new task; its tasks are checkpointed and resume elsewhere. */
    @Test
    public void leavingWorkerIsDrained() {
      run("t");
      FakeWorker host = hostOf("t");
      simulation.markLeaving(host == left ? "left" : "right");
      simulation.until("it runs elsewhere", () -> starts() == 2 && !host.running("t"));
      simulation.submit(node, "later", "reconcile");
      simulation.run(5_000);
      assertFalse(host.running("later"));
      assertEquals(starts(), 3);
      assertNoViolations();
    }

    /**
     * Guards against a worker that fails every attempt and therefore always has free capacity for
     * the next task. After a few failures in a row it gets no tasks for a while, and then one at a
     * time; the tasks finish elsewhere.
     */
    @Test
    public void workerThatFailsEverythingIsQuarantined() {
      left.failsAll = true;
      for (int i = 0; i < 8; i++) {
        simulation.submit(node, "t" + i, "reconcile");
      }
      simulation.run(6_000);
      int tried = left.started().size();
      for (int i = 0; i < 8; i++) {
        assertFalse(simulation.taskIs("t" + i, TaskPhase.FAILED));
      }
      simulation.run(10_000);
      assertEquals(left.started().size(), tried, "quarantined");
      assertTrue(tried <= 8, "tried " + tried);
    }

    /**
     * Guards against an overloaded worker: an attempt that no record allows (an orphan) occupies
     * capacity until it is stopped, so nothing is placed on the worker before that.
     */
    @Test
    public void orphansAreStoppedFirst() {
      for (int i = 0; i < 12; i++) {
        simulation.submit(node, "t" + i, "reconcile");
      }
      simulation.run(5_000);
      assertEquals(starts(), 8);
      node.scanDelay = 1_500;
      left.inject(new Run(new TaskId("stray"), 7), new Demand(8_000, 1_000, 0));
      simulation.run(2_500);
      List.copyOf(left.started()).forEach(run -> left.finish(run.task().value()));
      simulation.run(5_000);
      node.scanDelay = 2;
      simulation.run(15_000);
      assertFalse(left.running("stray"));
      assertEquals(starts(), 12);
      assertNoViolations();
    }

    /** A task that fails on three workers is recorded as failed. */
    @Test
    public void taskThatFailsEverywhereEnds() {
      FakeWorker third = simulation.worker("third", 8);
      List.of(left, right, third).forEach(worker -> worker.failsAll = true);
      simulation.run(3_000);
      simulation.submit(node, "t", "reconcile");
      simulation.until("it ends", () -> simulation.taskIs("t", TaskPhase.FAILED));
      assertEquals(simulation.task("t").failedOn().size(), 3);
    }
  }

  /** Cancellations and tasks that can never run. */
  public static final class Ends extends OneInstance {

    /** A waiting task is cancelled at once and never runs. */
    @Test
    public void waitingTaskIsCancelled() {
      for (int i = 0; i < 8; i++) {
        run("t" + i);
      }
      simulation.submit(node, "waits", "reconcile");
      simulation.run(500);
      simulation.cancel(node, "waits");
      simulation.until("cancelled", () -> simulation.taskIs("waits", TaskPhase.CANCELLED));
      left.finish(left.started().get(0).task().value());
      simulation.run(5_000);
      assertEquals(starts(), 8);
    }

    /** A running task is stopped and ends as cancelled; it does not resume. */
    @Test
    public void runningTaskIsStopped() {
      run("t");
      simulation.cancel(node, "t");
      simulation.until("cancelled", () -> simulation.taskIs("t", TaskPhase.CANCELLED));
      simulation.run(5_000);
      assertEquals(starts(), 1);
      assertFalse(simulation.taskRuns("t"));
    }

    /**
     * A task finishes while its worker is marked as leaving and its caller cancels it. Whichever
     * comes first is its only end: it neither resumes nor ends twice.
     */
    @Test
    public void evictionCompletionAndCancelTogetherEndOnce() {
      run("t");
      FakeWorker host = hostOf("t");
      host.finish("t");
      simulation.markLeaving(host == left ? "left" : "right");
      final long ticket = simulation.cancel(node, "t");
      simulation.run(15_000);
      assertEquals(starts(), 1);
      assertTrue(simulation.task("t").phase().ended());
      assertEquals(node.tickets.get(ticket).verdict(), TaskEffect.Verdict.DONE);
    }

    /** A task larger than every worker ends as never runnable, and blocks no task behind it. */
    @Test
    public void taskThatFitsNoWorkerIsNeverRunnable() {
      node.accept(
          new TaskEvent.SubmitAsked(
              99, new TaskId("huge"), new RowName("recall"), "input", new Demand(900_000, 1, 0)));
      simulation.submit(node, "small", "reconcile");
      simulation.until("the small one runs", () -> simulation.taskRuns("small"));
      simulation.until(
          "it is never runnable", () -> simulation.taskIs("huge", TaskPhase.NEVER_RUNNABLE));
    }

    /** Many cancellations at once delay neither running tasks nor the start of an urgent one. */
    @Test
    public void manyCancellationsDoNotDelayUrgentTasks() {
      for (int i = 0; i < 60; i++) {
        simulation.submit(node, "t" + i, "reconcile");
      }
      simulation.run(3_000);
      for (int i = 0; i < 60; i++) {
        simulation.cancel(node, "t" + i);
      }
      simulation.submit(node, "urgent", "recall");
      simulation.run(1_800);
      assertTrue(simulation.taskRuns("urgent"));
      simulation.run(5_000);
      for (int i = 0; i < 60; i++) {
        assertTrue(simulation.taskIs("t" + i, TaskPhase.CANCELLED), "t" + i);
      }
      assertNoViolations();
    }
  }
}
