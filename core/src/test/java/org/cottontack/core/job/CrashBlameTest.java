package org.cottontack.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.Test;

/** Tests of the evidence that a crash gives against the runs on its worker. */
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

  private static Task onProbation(Task task) {
    task.probation = true;
    return task;
  }

  /** Records that the worker of these runs has crashed, and returns the evidence against each. */
  private static List<Integer> crashed(Task... runs) {
    return crashed(0, runs);
  }

  private static List<Integer> crashed(double lossProbability, Task... runs) {
    List<Task> all = List.of(runs);
    List<Integer> evidence =
        all.stream().map(task -> CrashBlame.evidence(task, all, lossProbability)).toList();
    IntStream.range(0, runs.length).forEach(i -> runs[i].blamed += evidence.get(i));
    CrashBlame.lost(all);
    return evidence;
  }

  /** Which task the crash of its worker is evidence against. */
  public static class Blaming {

    /** After a first crash nothing distinguishes one run from the others. */
    @Test
    public void blamesNobodyForFirstCrash() {
      Task task = placed("a", 0);
      Task other = placed("b", 0);
      assertEquals(crashed(task, other), List.of(0, 0));
      assertEquals(List.of(task.crashes, other.crashes), List.of(1, 1));
    }

    @Test
    public void blamesTheOneThatLostMoreWorkersBefore() {
      Task task = onProbation(placed("a", 2));
      assertEquals(crashed(task, placed("b", 1)), List.of(CrashBlame.WEAK_EVIDENCE, 0));
    }

    @Test
    public void blamesNoneOfEquals() {
      Task task = onProbation(placed("a", 2));
      Task other = onProbation(placed("b", 2));
      assertEquals(crashed(task, other), List.of(0, 0));
    }

    /** A run that survives for a while is an unlikely cause if another has just begun beside it. */
    @Test
    public void blamesNoListedRunBesideOneThatJustBegan() {
      Task task = onProbation(listed(placed("a", 2), 300));
      assertEquals(crashed(task, placed("b", 1)), List.of(0, 0));
    }

    /** An order that was never sent started nothing. */
    @Test
    public void ignoresWhatCannotHaveBegun() {
      Task task = onProbation(placed("a", 2));
      task.order = Task.Order.UNSAVED;
      assertEquals(crashed(task), List.of(0));
      assertEquals(task.crashes, 2);
    }

    /** A long-running task sees many workers crash in a day. */
    @Test
    public void ignoresLongRunningTasksThatWereListed() {
      Task task = onProbation(listed(placed("a", 2, StepSpec.Trait.LASTS), 1_500));
      assertEquals(crashed(task), List.of(0));
      assertEquals(task.crashes, 2);
    }

    /** Guards against blame for a worker that may have been dead before the start was sent. */
    @Test
    public void blamesNoRunThatIsNotOnProbation() {
      Task task = placed("a", 4);
      assertEquals(crashed(task), List.of(0));
      assertEquals(task.crashes, 5);
    }

    /** Guards against blame for a worker that is cut off and may be alive. */
    @Test
    public void silenceIsNoCrash() {
      assertFalse(WorkerLoss.UNLISTED.crashed());
      assertFalse(WorkerLoss.UNREACHABLE.crashed());
      assertFalse(WorkerLoss.LEFT.crashed());
    }

    /** Guards against blame for crashes that are as frequent without the suspect. */
    @Test
    public void weighsLessWhereWorkersAreOftenLost() {
      assertEquals(crashed(0.02, onProbation(placed("a", 2))), List.of(CrashBlame.STRONG_EVIDENCE));
      assertEquals(crashed(0.04, onProbation(placed("a", 2))), List.of(CrashBlame.WEAK_EVIDENCE));
      assertEquals(crashed(0.1, onProbation(placed("a", 2))), List.of(CrashBlame.SLIGHT_EVIDENCE));
      assertEquals(crashed(0.3, onProbation(placed("a", 2))), List.of(0));
    }
  }

  /** Which task is abandoned. */
  public static class Abandoning {

    @Test
    public void afterTwoCrashesWithoutAnotherCause() {
      Task task = onProbation(placed("a", 2));
      crashed(task);
      assertFalse(CrashBlame.proven(task));
      crashed(task);
      assertTrue(CrashBlame.proven(task));
    }

    /** The platform allows no sixth start, whatever ran beside the others. */
    @Test
    public void afterFiveCrashes() {
      Task task = onProbation(placed("a", 2));
      crashed(task, placed("b", 1));
      crashed(task, placed("b", 1));
      assertFalse(CrashBlame.proven(task));
      crashed(task, placed("b", 1));
      assertTrue(CrashBlame.proven(task));
    }

    /** Guards against abandoning tasks that lost five workers and crashed none. */
    @Test
    public void notForLossesAlone() {
      Task task = placed("a", 4);
      Task other = placed("b", 4);
      crashed(task, other);
      CrashBlame.endedUndone(task);
      assertFalse(CrashBlame.proven(task));
      assertFalse(CrashBlame.proven(other));
    }

    /** Guards against a next leader that fails a job although the evidence was not reviewed. */
    @Test
    public void notByTheNextLeaderWithoutReview() {
      Task task = onProbation(placed("a", 2));
      crashed(task);
      crashed(task);
      Task recovered = placed("a", 4);
      recovered.blamed = CrashBlame.stored(task);
      assertFalse(CrashBlame.proven(recovered));
    }

    /** Guards against further starts of a fatal task whose runs end before they crash a worker. */
    @Test
    public void afterRunsThatEndUndoneOnceThereIsEvidence() {
      Task task = onProbation(placed("a", 2));
      crashed(task, placed("b", 1));
      CrashBlame.endedUndone(task);
      assertFalse(CrashBlame.proven(task));
      CrashBlame.endedUndone(task);
      assertTrue(CrashBlame.proven(task));
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
