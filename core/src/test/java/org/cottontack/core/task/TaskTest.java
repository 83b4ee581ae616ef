package org.cottontack.core.task;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cottontack.core.id.RowName;
import org.cottontack.core.id.TaskId;
import org.cottontack.core.lab.FakeWorker;
import org.cottontack.core.lab.Lab;
import org.cottontack.core.lab.Node;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A task runs in one place, resumes once and ends once. */
public final class TaskTest {

  private TaskTest() {}

  /** A lab with one entry instance and two workers. */
  public abstract static class OneInstance {

    Lab lab;
    Node node;
    FakeWorker left;
    FakeWorker right;

    /** Starts everything and waits until both workers are owned. */
    @BeforeMethod
    public void start() {
      lab = new Lab();
      left = lab.worker("left", 8);
      right = lab.worker("right", 8);
      node = lab.start("a:1");
      lab.until("owned", () -> node.state().tasks().loaded().size() == 2);
    }

    FakeWorker hostOf(String task) {
      return left.running(task) ? left : right;
    }

    void run(String task) {
      lab.submit(node, task, "reconcile");
      lab.until(task + " runs", () -> lab.taskRuns(task));
      lab.run(1_500);
    }

    int starts() {
      return left.started().size() + right.started().size();
    }

    void assertNothingBroken() {
      assertEquals(lab.violations(), List.of());
    }
  }

  /** The plain way of a task. */
  public static final class Plain extends OneInstance {

    /** A submitted task runs once, ends, and its record moves to the ended ones. */
    @Test
    public void runsOnceAndEnds() {
      run("t");
      hostOf("t").finish("t");
      lab.until("it ends", () -> lab.taskIs("t", TaskPhase.FINISHED));
      lab.run(10_000);
      assertEquals(starts(), 1);
      assertTrue(node.state().tasks().tasks().isEmpty());
    }

    /** The same submission again is answered as the first one was; another one is refused. */
    @Test
    public void submittingAgainIsIdempotent() {
      run("t");
      long again = lab.submit(node, "t", "reconcile");
      long other = lab.submit(node, "t", "recall");
      lab.run(500);
      assertEquals(node.tickets.get(again).verdict(), TaskEffect.Verdict.DONE);
      assertEquals(node.tickets.get(other).verdict(), TaskEffect.Verdict.ID_TAKEN);
      assertEquals(starts(), 1);
    }

    /** A submission repeated after the task has ended does not run it again. */
    @Test
    public void submittingAgainAfterTheEndDoesNotRunIt() {
      run("t");
      hostOf("t").finish("t");
      lab.until("it ends", () -> lab.taskIs("t", TaskPhase.FINISHED));
      long again = lab.submit(node, "t", "reconcile");
      lab.run(5_000);
      assertEquals(node.tickets.get(again).verdict(), TaskEffect.Verdict.DONE);
      assertEquals(starts(), 1);
    }

    /** Workers are never given more than they hold, and what waits runs when there is room. */
    @Test
    public void fillsButNeverOverfills() {
      for (int i = 0; i < 10; i++) {
        lab.submit(node, "t" + i, "reconcile");
      }
      lab.run(5_000);
      assertEquals(starts(), 8);
      left.finish(left.started().get(0).task().value());
      lab.run(3_000);
      assertEquals(starts(), 9);
      assertNothingBroken();
    }

    /** Urgent tasks go before those that were submitted earlier. */
    @Test
    public void urgentGoesFirst() {
      for (int i = 0; i < 8; i++) {
        run("t" + i);
      }
      lab.submit(node, "waits", "reconcile");
      lab.submit(node, "urgent", "recall");
      lab.run(500);
      left.finish(left.started().get(0).task().value());
      lab.until("one runs", () -> lab.taskRuns("urgent") || lab.taskRuns("waits"));
      assertTrue(lab.taskRuns("urgent"));
    }
  }

  /** Answers of the store or of workers are lost. */
  public static final class LostAnswers extends OneInstance {

    /**
     * A task seems to run twice. The write that places it takes effect and its answer is lost; the
     * same write is sent again, conflicts with itself, and counts as done. One start follows.
     */
    @Test
    public void placementWhoseAnswerIsLostIsMadeOnce() {
      lab.submit(node, "t", "reconcile");
      lab.run(30);
      node.storeAnswers = false;
      lab.until("placed in the store", () -> lab.taskIs("t", TaskPhase.PLACED));
      lab.run(1_000);
      assertFalse(lab.taskRuns("t"), "no order before the write is known to have taken effect");
      node.storeAnswers = true;
      lab.until("it runs", () -> lab.taskRuns("t"));
      lab.run(10_000);
      assertEquals(starts(), 1);
      assertEquals(lab.task("t").attempt(), 1);
    }

    /** The answer to a start is lost; the worker's report tells, and nothing starts twice. */
    @Test
    public void startWhoseAnswerIsLostIsNotRepeatedElsewhere() {
      lab.submit(node, "t", "reconcile");
      lab.until("placed in the store", () -> lab.taskIs("t", TaskPhase.PLACED));
      left.answers = false;
      right.answers = false;
      lab.until("it runs", () -> lab.taskRuns("t"));
      lab.run(1_000);
      left.answers = true;
      right.answers = true;
      lab.run(10_000);
      assertEquals(starts(), 1);
      assertNothingBroken();
    }

    /**
     * A task seems to run twice. Its start order is still on the wire when the worker reports that
     * it does not have the task; it must not be placed again until that order has expired.
     */
    @Test
    public void reportsBeforeTheOrderArrivesProveNothing() {
      node.startDelay = 450;
      lab.submit(node, "t", "reconcile");
      lab.run(15_000);
      assertEquals(starts(), 1);
      assertNothingBroken();
    }

    /** The end of a task is recorded although the answer of that write is lost. */
    @Test
    public void anEndWhoseAnswerIsLostIsRecordedOnce() {
      run("t");
      node.loseNextAnswerAbout = "ended/";
      hostOf("t").finish("t");
      lab.until("it ends", () -> lab.taskIs("t", TaskPhase.FINISHED));
      lab.run(10_000);
      assertEquals(starts(), 1);
      assertTrue(node.state().tasks().tasks().isEmpty());
    }
  }

  /** Workers fall silent, restart, leave or fail everything. */
  public static final class WorkerTrouble extends OneInstance {

    /**
     * A cut-off worker may still run its task. The task is placed elsewhere only after the last
     * renewal that can have reached it has run out, and it resumes from its checkpoint, once.
     */
    @Test
    public void silentWorkersTaskWaitsForItsLease() {
      run("t");
      FakeWorker host = hostOf("t");
      host.hears = false;
      lab.run(Lab.TASK_LEASE - 1_000);
      assertEquals(starts(), 1);
      lab.until("it runs again", () -> starts() == 2);
      assertFalse(host.running("t"));
      host.hears = true;
      lab.run(15_000);
      assertEquals(starts(), 2);
      assertNothingBroken();
    }

    /**
     * A batch of notices goes out twice. Its worker falls silent, and may have sent them all before
     * its lease ran out. Its row is not idempotent, so the task ends in doubt; it does not run
     * again.
     */
    @Test
    public void notRepeatableTasksEndInDoubt() {
      lab.submit(node, "n", "notice");
      lab.until("it runs", () -> lab.taskRuns("n"));
      lab.run(1_500);
      FakeWorker host = hostOf("n");
      host.hears = false;
      lab.until("in doubt", () -> lab.taskIs("n", TaskPhase.IN_DOUBT));
      host.hears = true;
      lab.run(15_000);
      assertEquals(starts(), 1);
      assertNothingBroken();
    }

    /** What was stopped with a checkpoint is known not to have ended: it resumes all the same. */
    @Test
    public void notRepeatableTasksResumeFromCheckpoints() {
      lab.submit(node, "n", "notice");
      lab.until("it runs", () -> lab.taskRuns("n"));
      lab.run(1_500);
      lab.leaving(hostOf("n") == left ? "left" : "right");
      lab.until("it runs elsewhere", () -> starts() == 2);
      lab.run(10_000);
      assertEquals(starts(), 2);
    }

    /** A restarted worker has lost its tasks; they resume on a worker, once each. */
    @Test
    public void restartedWorkersTasksResumeOnce() {
      run("t");
      hostOf("t").restart();
      lab.until("it runs again", () -> starts() == 2);
      lab.run(15_000);
      assertEquals(starts(), 2);
      assertEquals(lab.task("t").attempt(), 2);
    }

    /** A leaving worker gets nothing new; what it runs is checkpointed and resumes elsewhere. */
    @Test
    public void leavingWorkerIsEmptied() {
      run("t");
      FakeWorker host = hostOf("t");
      lab.leaving(host == left ? "left" : "right");
      lab.until("it runs elsewhere", () -> starts() == 2 && !host.running("t"));
      lab.submit(node, "later", "reconcile");
      lab.run(5_000);
      assertFalse(host.running("later"));
      assertEquals(starts(), 3);
      assertNothingBroken();
    }

    /**
     * A worker that fails everything would eat every task. After a few failures in a row it gets
     * none for a while, and then one at a time; the tasks finish elsewhere.
     */
    @Test
    public void workerThatFailsEverythingIsAvoided() {
      left.failsAll = true;
      for (int i = 0; i < 8; i++) {
        lab.submit(node, "t" + i, "reconcile");
      }
      lab.run(6_000);
      int tried = left.started().size();
      for (int i = 0; i < 8; i++) {
        assertFalse(lab.taskIs("t" + i, TaskPhase.FAILED));
      }
      lab.run(10_000);
      assertEquals(left.started().size(), tried, "quarantined");
      assertTrue(tried <= 8, "tried " + tried);
    }

    /**
     * A worker runs an attempt that no record allows. It takes capacity until it is stopped, so
     * nothing is placed beside it before that.
     */
    @Test
    public void strayAttemptsAreStoppedFirst() {
      for (int i = 0; i < 12; i++) {
        lab.submit(node, "t" + i, "reconcile");
      }
      lab.run(5_000);
      assertEquals(starts(), 8);
      node.scanDelay = 1_500;
      left.inject(new Run(new TaskId("stray"), 7), new Demand(8_000, 1_000, 0));
      lab.run(2_500);
      List.copyOf(left.started()).forEach(run -> left.finish(run.task().value()));
      lab.run(5_000);
      node.scanDelay = 2;
      lab.run(15_000);
      assertFalse(left.running("stray"));
      assertEquals(starts(), 12);
      assertNothingBroken();
    }

    /** A task that fails wherever it runs is given up after three workers. */
    @Test
    public void taskThatFailsEverywhereEnds() {
      FakeWorker third = lab.worker("third", 8);
      List.of(left, right, third).forEach(worker -> worker.failsAll = true);
      lab.run(3_000);
      lab.submit(node, "t", "reconcile");
      lab.until("it ends", () -> lab.taskIs("t", TaskPhase.FAILED));
      assertEquals(lab.task("t").failedOn().size(), 3);
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
      lab.submit(node, "waits", "reconcile");
      lab.run(500);
      lab.cancel(node, "waits");
      lab.until("cancelled", () -> lab.taskIs("waits", TaskPhase.CANCELLED));
      left.finish(left.started().get(0).task().value());
      lab.run(5_000);
      assertEquals(starts(), 8);
    }

    /** A running task is stopped and ends as cancelled; it does not resume. */
    @Test
    public void runningTaskIsStopped() {
      run("t");
      lab.cancel(node, "t");
      lab.until("cancelled", () -> lab.taskIs("t", TaskPhase.CANCELLED));
      lab.run(5_000);
      assertEquals(starts(), 1);
      assertFalse(lab.taskRuns("t"));
    }

    /**
     * A task finishes, its worker is told to leave and its caller cancels it, all at once. Whatever
     * comes first is its one end; it neither resumes nor ends twice.
     */
    @Test
    public void evictionCompletionAndCancelTogetherEndOnce() {
      run("t");
      FakeWorker host = hostOf("t");
      host.finish("t");
      lab.leaving(host == left ? "left" : "right");
      final long ticket = lab.cancel(node, "t");
      lab.run(15_000);
      assertEquals(starts(), 1);
      assertTrue(lab.task("t").phase().ended());
      assertEquals(node.tickets.get(ticket).verdict(), TaskEffect.Verdict.DONE);
    }

    /** A task larger than any worker is said to be so, and does not block those behind it. */
    @Test
    public void taskThatFitsNoWorkerIsSaidSo() {
      node.accept(
          new TaskEvent.SubmitAsked(
              99, new TaskId("huge"), new RowName("recall"), "input", new Demand(900_000, 1, 0)));
      lab.submit(node, "small", "reconcile");
      lab.until("the small one runs", () -> lab.taskRuns("small"));
      lab.until("said so", () -> lab.taskIs("huge", TaskPhase.NEVER_RUNNABLE));
    }

    /** A wave of cancellations leaves the rest running and urgent work starting. */
    @Test
    public void waveOfCancellationsStarvesNothing() {
      for (int i = 0; i < 60; i++) {
        lab.submit(node, "t" + i, "reconcile");
      }
      lab.run(3_000);
      for (int i = 0; i < 60; i++) {
        lab.cancel(node, "t" + i);
      }
      lab.submit(node, "urgent", "recall");
      lab.run(1_800);
      assertTrue(lab.taskRuns("urgent"));
      lab.run(5_000);
      for (int i = 0; i < 60; i++) {
        assertTrue(lab.taskIs("t" + i, TaskPhase.CANCELLED), "t" + i);
      }
      assertNothingBroken();
    }
  }
}
