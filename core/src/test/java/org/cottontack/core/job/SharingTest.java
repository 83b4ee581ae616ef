package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests of tasks that fill beside tasks that serve, in virtual time. */
public class SharingTest {

  /** Paces and places of tasks that fill. */
  public static class Filling {

    private static JobSpec serving(String id, String image) {
      return job(id, step(1, 4, List.of(), 0, image, 18, StepSpec.Trait.LASTS));
    }

    private static JobSpec filling(String id, String image) {
      return job(id, step(1, 4, List.of(), 0, image, 0, StepSpec.Trait.FILLS));
    }

    /** Runs one serving task of an image for each id. */
    private static void serve(JobSimulation lab, long workMillis, String... ids) {
      lab.workMillis = workMillis;
      List.of(ids).forEach(id -> lab.submit(serving(id, "web")));
      lab.run(300);
    }

    /** Has a task that fills work at 4 cores while the tail of the serving task s is as given. */
    private static void harm(
        JobSimulation lab, SimulatedWorker worker, JobSpec filling, double tail) {
      lab.submit(filling);
      worker.loads.put("s", tail);
      worker.loads.put(filling.id().value(), 4_000.0);
    }

    /**
     * Lets time pass in which the tail of s is high while f1 works beside it, and low otherwise.
     */
    private static void harmWhileBeside(JobSimulation lab, SimulatedWorker worker, long millis) {
      for (long passed = 0; passed < millis; passed += 50) {
        worker.loads.put("s", worker.runs(TaskName.parse("f1.0.0.0")) ? 180.0 : 5.0);
        lab.run(50);
      }
    }

    /**
     * A task that fills pushes a serving task's tail far over its bound. Its pace goes to zero
     * within the next reports; the users of the serving task see a short bump only.
     */
    @Test
    public void haltsWhatPushesTailsOverItsBound() {
      SimulatedWorker worker = new SimulatedWorker("w1", 16);
      JobSimulation lab = simulation(worker);
      serve(lab, 60_000, "s");
      harm(lab, worker, filling("f", "batch"), 200.0);
      lab.run(1_500);
      assertTrue(
          lab.seen.stream()
              .anyMatch(e -> e instanceof JobEffect.PaceRun pace && pace.percent() == 0));
    }

    /**
     * A tail is over its bound, and the report in between reads just under it. What fills is halted
     * all the same, and no new task that fills joins: it would start at full pace.
     */
    @Test
    public void oneMilderReportEndsNoAlarm() {
      SimulatedWorker worker = new SimulatedWorker("w1", 16);
      JobSimulation lab = simulation(worker);
      serve(lab, 60_000, "s");
      lab.submit(filling("f", "batch"));
      worker.loads.put("f", 0.1);
      worker.loads.put("s", 18.5);
      lab.run(600);
      worker.loads.put("s", 17.0);
      lab.run(600);
      worker.loads.put("s", 18.5);
      lab.submit(filling("g", "other"));
      lab.run(1_500);
      assertEquals(lab.lastPace("f.0.0.0"), 0);
      assertFalse(worker.runs(TaskName.parse("g.0.0.0")));
    }

    /**
     * A serving task is over its bound by its own load. Nothing joins it, as harmless as it may be:
     * it would start at full pace where there is no room for it. It joins once the tail is low.
     */
    @Test
    public void nothingJoinsBesideTailOverItsBound() {
      SimulatedWorker worker = new SimulatedWorker("w1", 16);
      JobSimulation lab = simulation(worker);
      serve(lab, 60_000, "s");
      worker.loads.put("s", 18.5);
      lab.run(1_200);
      lab.submit(filling("g", "other"));
      lab.run(1_200);
      assertFalse(worker.runs(TaskName.parse("g.0.0.0")));
      worker.loads.put("s", 5.0);
      lab.run(1_500);
      assertTrue(worker.runs(TaskName.parse("g.0.0.0")));
    }

    /**
     * The order to halt a run gets no answer: the run may go on at full pace. The order goes out
     * again with the next report, until it is answered.
     */
    @Test
    public void ordersThePaceAgainWhenTheAnswerIsLost() {
      SimulatedWorker worker = new SimulatedWorker("w1", 16);
      JobSimulation lab = simulation(worker);
      serve(lab, 60_000, "s");
      harm(lab, worker, filling("f", "batch"), 200.0);
      lab.run(500);
      long before = lab.paces("f.0.0.0");
      lab.post(
          new JobEvent.PaceLost(
              worker.info.incarnation(), new RunKey(TaskName.parse("f.0.0.0"), 1)));
      lab.run(1_000);
      assertTrue(lab.paces("f.0.0.0") > before, "orders: " + lab.paces("f.0.0.0"));
    }

    /**
     * A leader halts a run and dies. The next one does not know the pace; it orders full pace once
     * the tails allow it. Otherwise the run would stand still until its job is given up.
     */
    @Test
    public void givesPaceBackAfterTakeover() {
      SimulatedWorker worker = new SimulatedWorker("w1", 16);
      JobSimulation lab = simulation(worker);
      serve(lab, 60_000, "s");
      harm(lab, worker, filling("f", "batch"), 200.0);
      lab.run(1_000);
      assertEquals(lab.lastPace("f.0.0.0"), 0);
      worker.loads.put("s", 5.0);
      lab.takeOver();
      lab.run(3_000);
      assertEquals(lab.lastPace("f.0.0.0"), Task.FULL_PACE);
    }

    /**
     * What fills was halted beside a serving task, and that task's job is cancelled. Nothing needs
     * protection any more; without an order the run would stand still until its job is given up.
     */
    @Test
    public void givesPaceBackWhenNothingServesAnyMore() {
      SimulatedWorker worker = new SimulatedWorker("w1", 16);
      JobSimulation lab = simulation(worker);
      serve(lab, 60_000, "s");
      harm(lab, worker, filling("f", "batch"), 200.0);
      lab.run(1_500);
      assertEquals(lab.lastPace("f.0.0.0"), 0);
      lab.post(new JobEvent.JobCancelled(new JobId("s")));
      lab.run(1_500);
      assertEquals(lab.lastPace("f.0.0.0"), Task.FULL_PACE);
    }

    /**
     * A run is halted beside a serving task, and no other worker has room. It is stopped and waits
     * with its job's urgency; left there, it stood still for as long as other jobs kept coming.
     */
    @Test
    public void stopsWhatIsHaltedThoughNothingElseHasRoom() {
      SimulatedWorker worker = new SimulatedWorker("w1", 16);
      JobSimulation lab = simulation(worker);
      serve(lab, 60_000, "s");
      lab.submit(
          job(
              "f",
              step(
                  1,
                  4,
                  List.of(),
                  0,
                  "batch",
                  0,
                  StepSpec.Trait.FILLS,
                  StepSpec.Trait.CHECKPOINTS)));
      worker.loads.put("s", 200.0);
      worker.loads.put("f", 4_000.0);
      lab.run(4_000);
      assertFalse(worker.runs(TaskName.parse("f.0.0.0")));
      assertTrue(
          lab.seen.stream()
              .anyMatch(
                  e ->
                      e instanceof JobEffect.StopRun stop
                          && stop.run().task().equals(TaskName.parse("f.0.0.0"))));
    }

    @Test
    public void packsServingTasksOfOneImage() {
      SimulatedWorker first = new SimulatedWorker("w1", 16);
      SimulatedWorker second = new SimulatedWorker("w2", 16);
      JobSimulation lab = simulation(first, second);
      lab.workMillis = 60_000;
      lab.submit(serving("s1", "web"));
      lab.run(200);
      lab.submit(serving("s2", "mail"));
      lab.run(200);
      lab.submit(serving("s3", "web"));
      lab.run(200);
      SimulatedWorker web = first.runs(TaskName.parse("s1.0.0.0")) ? first : second;
      assertTrue(web.runs(TaskName.parse("s3.0.0.0")));
      assertFalse(web.runs(TaskName.parse("s2.0.0.0")));
    }

    /**
     * An image is known to harm all that serves, and most of the workers are idle. Its job still
     * gets a place: its caller would otherwise see it wait for ever beside free workers.
     */
    @Test
    public void harmfulImagesRunWhereMostIsFree() {
      SimulatedWorker worker = new SimulatedWorker("w1", 16);
      JobSimulation lab = simulation(worker);
      serve(lab, 3_000, "s");
      harm(lab, worker, filling("f1", "batch"), 180.0);
      lab.run(3_500);
      worker.loads.put("s", 5.0);
      lab.submit(filling("f2", "batch"));
      lab.run(1_000);
      assertTrue(worker.runs(TaskName.parse("f2.0.0.0")));
    }

    /**
     * Another pool stands idle. That makes no room beside the serving tasks of this one: the
     * harmful image goes on waiting for a harmless place.
     */
    @Test
    public void anotherIdlePoolMakesNoRoom() {
      SimulatedWorker worker = new SimulatedWorker("w1", 16);
      JobSimulation lab = simulation(worker, new SimulatedWorker("x1", 99, "x1:1", "dc", "other"));
      serve(lab, 3_000, "s", "t", "u");
      harm(lab, worker, filling("f1", "batch"), 180.0);
      harmWhileBeside(lab, worker, 3_500);
      worker.loads.put("s", 5.0);
      lab.submit(filling("f2", "batch"));
      lab.run(1_000);
      assertFalse(worker.runs(TaskName.parse("f2.0.0.0")));
    }

    /**
     * One pair of images is seen to multiply a tail by ten. From then on tasks of that image wait
     * for another worker instead of joining the serving task again.
     */
    @Test
    public void keepsPairsApartOnceKnownToHurt() {
      SimulatedWorker worker = new SimulatedWorker("w1", 16);
      JobSimulation lab = simulation(worker);
      serve(lab, 3_000, "s", "t", "u");
      harm(lab, worker, filling("f1", "batch"), 180.0);
      harmWhileBeside(lab, worker, 3_500);
      worker.loads.put("s", 5.0);
      lab.submit(filling("f2", "batch"));
      lab.run(1_000);
      assertFalse(worker.runs(TaskName.parse("f2.0.0.0")));
      lab.submit(filling("f3", "harmless"));
      lab.run(1_000);
      assertTrue(worker.runs(TaskName.parse("f3.0.0.0")));
    }
  }
}
