package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests of best-effort tasks beside serving tasks, in simulated time. */
public class SharingTest {

  /** Paces and placement of best-effort tasks. */
  public static class BestEffortTasks {

    private static JobSpec serving(String id, String image) {
      return job(id, step(1, 4, List.of(), 0, image, 18, StepSpec.Trait.LASTS));
    }

    private static JobSpec bestEffort(String id, String image) {
      return job(id, step(1, 4, List.of(), 0, image, 0, StepSpec.Trait.FILLS));
    }

    /** Runs one serving task for each id, all of the same image. */
    private static void runServingTasks(JobSimulation simulation, long workMillis, String... ids) {
      simulation.workMillis = workMillis;
      List.of(ids).forEach(id -> simulation.submit(serving(id, "web")));
      simulation.run(300);
    }

    /**
     * Submits a best-effort task that uses 4 cores, and sets the tail latency of the serving task
     * s.
     */
    private static void submitHarmful(
        JobSimulation simulation, SimulatedWorker worker, JobSpec bestEffort, double tail) {
      simulation.submit(bestEffort);
      worker.loads.put("s", tail);
      worker.loads.put(bestEffort.id().value(), 4_000.0);
    }

    /**
     * Runs the simulation with a high tail latency of s while f1 runs beside it, and a low one
     * otherwise.
     */
    private static void raiseTailWhileBothRun(
        JobSimulation simulation, SimulatedWorker worker, long millis) {
      for (long passed = 0; passed < millis; passed += 50) {
        worker.loads.put("s", worker.runs(TaskName.parse("f1.0.0.0")) ? 180.0 : 5.0);
        simulation.run(50);
      }
    }

    /**
     * A best-effort task pushes the tail latency of a serving task far over its bound. Its pace is
     * set to zero within the next reports, so that users of the serving task see only a short peak.
     */
    @Test
    public void haltsRunThatPushesTailOverItsBound() {
      SimulatedWorker worker = new SimulatedWorker("w1", 16);
      JobSimulation simulation = simulation(worker);
      runServingTasks(simulation, 60_000, "s");
      submitHarmful(simulation, worker, bestEffort("f", "batch"), 200.0);
      simulation.run(1_500);
      assertTrue(
          simulation.effects.stream()
              .anyMatch(e -> e instanceof JobEffect.PaceRun pace && pace.percent() == 0));
    }

    /**
     * A tail latency is over its bound, and one report in between is just under it. Best-effort
     * tasks stay halted, and no new one joins, because it would start at full pace.
     */
    @Test
    public void staysHaltedAfterOneReportBelowTheBound() {
      SimulatedWorker worker = new SimulatedWorker("w1", 16);
      JobSimulation simulation = simulation(worker);
      runServingTasks(simulation, 60_000, "s");
      simulation.submit(bestEffort("f", "batch"));
      worker.loads.put("f", 0.1);
      worker.loads.put("s", 18.5);
      simulation.run(600);
      worker.loads.put("s", 17.0);
      simulation.run(600);
      worker.loads.put("s", 18.5);
      simulation.submit(bestEffort("g", "other"));
      simulation.run(1_500);
      assertEquals(simulation.lastPace("f.0.0.0"), 0);
      assertFalse(worker.runs(TaskName.parse("g.0.0.0")));
    }

    /**
     * A serving task is over its bound through its own load. No task joins it, however harmless,
     * because it would start at full pace where no headroom is left. It joins once the tail latency
     * is low.
     */
    @Test
    public void startsNothingBesideTailOverItsBound() {
      SimulatedWorker worker = new SimulatedWorker("w1", 16);
      JobSimulation simulation = simulation(worker);
      runServingTasks(simulation, 60_000, "s");
      worker.loads.put("s", 18.5);
      simulation.run(1_200);
      simulation.submit(bestEffort("g", "other"));
      simulation.run(1_200);
      assertFalse(worker.runs(TaskName.parse("g.0.0.0")));
      worker.loads.put("s", 5.0);
      simulation.run(1_500);
      assertTrue(worker.runs(TaskName.parse("g.0.0.0")));
    }

    /**
     * The order to halt a run gets no answer, so the run may continue at full pace. The order is
     * sent again after the next report, until it is answered.
     */
    @Test
    public void repeatsPaceOrderWhenItsAnswerIsLost() {
      SimulatedWorker worker = new SimulatedWorker("w1", 16);
      JobSimulation simulation = simulation(worker);
      runServingTasks(simulation, 60_000, "s");
      submitHarmful(simulation, worker, bestEffort("f", "batch"), 200.0);
      simulation.run(500);
      long before = simulation.paces("f.0.0.0");
      simulation.post(
          new JobEvent.PaceLost(
              worker.info.incarnation(), new RunKey(TaskName.parse("f.0.0.0"), 1)));
      simulation.run(1_000);
      assertTrue(simulation.paces("f.0.0.0") > before, "orders: " + simulation.paces("f.0.0.0"));
    }

    /**
     * A leader halts a run and crashes. The next leader does not know the pace, so it orders full
     * pace once the tail latencies allow it. Otherwise the run would stay halted until its job is
     * abandoned.
     */
    @Test
    public void restoresPaceAfterTakeover() {
      SimulatedWorker worker = new SimulatedWorker("w1", 16);
      JobSimulation simulation = simulation(worker);
      runServingTasks(simulation, 60_000, "s");
      submitHarmful(simulation, worker, bestEffort("f", "batch"), 200.0);
      simulation.run(1_000);
      assertEquals(simulation.lastPace("f.0.0.0"), 0);
      worker.loads.put("s", 5.0);
      simulation.takeOver();
      simulation.run(3_000);
      assertEquals(simulation.lastPace("f.0.0.0"), Task.FULL_PACE);
    }

    /**
     * A best-effort run was halted beside a serving task whose job is then cancelled. No serving
     * task is left to protect. Without an order the run would stay halted until its job is
     * abandoned.
     */
    @Test
    public void restoresPaceWhenNoServingTaskIsLeft() {
      SimulatedWorker worker = new SimulatedWorker("w1", 16);
      JobSimulation simulation = simulation(worker);
      runServingTasks(simulation, 60_000, "s");
      submitHarmful(simulation, worker, bestEffort("f", "batch"), 200.0);
      simulation.run(1_500);
      assertEquals(simulation.lastPace("f.0.0.0"), 0);
      simulation.post(new JobEvent.JobCancelled(new JobId("s")));
      simulation.run(1_500);
      assertEquals(simulation.lastPace("f.0.0.0"), Task.FULL_PACE);
    }

    /**
     * A run is halted beside a serving task, and no other worker has free capacity. The run is
     * stopped and its task waits with the urgency of its job. If it were left there, it would stay
     * halted for as long as other jobs kept arriving.
     */
    @Test
    public void stopsHaltedRunThoughNoOtherWorkerHasCapacity() {
      SimulatedWorker worker = new SimulatedWorker("w1", 16);
      JobSimulation simulation = simulation(worker);
      runServingTasks(simulation, 60_000, "s");
      simulation.submit(
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
      simulation.run(4_000);
      assertFalse(worker.runs(TaskName.parse("f.0.0.0")));
      assertTrue(
          simulation.effects.stream()
              .anyMatch(
                  e ->
                      e instanceof JobEffect.StopRun stop
                          && stop.run().task().equals(TaskName.parse("f.0.0.0"))));
    }

    @Test
    public void packsServingTasksOfOneImage() {
      SimulatedWorker first = new SimulatedWorker("w1", 16);
      SimulatedWorker second = new SimulatedWorker("w2", 16);
      JobSimulation simulation = simulation(first, second);
      simulation.workMillis = 60_000;
      simulation.submit(serving("s1", "web"));
      simulation.run(200);
      simulation.submit(serving("s2", "mail"));
      simulation.run(200);
      simulation.submit(serving("s3", "web"));
      simulation.run(200);
      SimulatedWorker web = first.runs(TaskName.parse("s1.0.0.0")) ? first : second;
      assertTrue(web.runs(TaskName.parse("s3.0.0.0")));
      assertFalse(web.runs(TaskName.parse("s2.0.0.0")));
    }

    /**
     * An image is known to harm all serving tasks, and most of the workers are idle. Its job is
     * still placed: otherwise its caller would see it wait indefinitely beside free workers.
     */
    @Test
    public void runsHarmfulImageWherePoolIsLightlyReserved() {
      SimulatedWorker worker = new SimulatedWorker("w1", 16);
      JobSimulation simulation = simulation(worker);
      runServingTasks(simulation, 3_000, "s");
      submitHarmful(simulation, worker, bestEffort("f1", "batch"), 180.0);
      simulation.run(3_500);
      worker.loads.put("s", 5.0);
      simulation.submit(bestEffort("f2", "batch"));
      simulation.run(1_000);
      assertTrue(worker.runs(TaskName.parse("f2.0.0.0")));
    }

    /**
     * Another pool is idle. That adds no capacity beside the serving tasks of this pool, so the
     * harmful image keeps waiting for a worker where it does no harm.
     */
    @Test
    public void keepsHarmfulImageWaitingThoughAnotherPoolIsIdle() {
      SimulatedWorker worker = new SimulatedWorker("w1", 16);
      JobSimulation simulation =
          simulation(worker, new SimulatedWorker("x1", 99, "x1:1", "dc", "other"));
      runServingTasks(simulation, 3_000, "s", "t", "u");
      submitHarmful(simulation, worker, bestEffort("f1", "batch"), 180.0);
      raiseTailWhileBothRun(simulation, worker, 3_500);
      worker.loads.put("s", 5.0);
      simulation.submit(bestEffort("f2", "batch"));
      simulation.run(1_000);
      assertFalse(worker.runs(TaskName.parse("f2.0.0.0")));
    }

    /**
     * A best-effort image is measured to multiply a tail latency by ten. From then on its tasks
     * wait for another worker instead of joining that serving image again.
     */
    @Test
    public void separatesPairsKnownToInterfere() {
      SimulatedWorker worker = new SimulatedWorker("w1", 16);
      JobSimulation simulation = simulation(worker);
      runServingTasks(simulation, 3_000, "s", "t", "u");
      submitHarmful(simulation, worker, bestEffort("f1", "batch"), 180.0);
      raiseTailWhileBothRun(simulation, worker, 3_500);
      worker.loads.put("s", 5.0);
      simulation.submit(bestEffort("f2", "batch"));
      simulation.run(1_000);
      assertFalse(worker.runs(TaskName.parse("f2.0.0.0")));
      simulation.submit(bestEffort("f3", "harmless"));
      simulation.run(1_000);
      assertTrue(worker.runs(TaskName.parse("f3.0.0.0")));
    }
  }
}
