package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/** Tests of decisions about workers that report less capacity than before. */
public class ShrinkingWorkerTest {

  /** Workers whose capacity shrinks while tasks run, and grows again. */
  public static class Starting {

    private static final TaskName SECOND = TaskName.parse("b.0.0.0");

    private static WorkerInfo resized(SimulatedWorker worker, long cores) {
      WorkerInfo info = worker.info;
      return new WorkerInfo(
          info.incarnation(),
          info.pool(),
          info.address(),
          info.dataCentre(),
          new Resources(1_000 * cores, 100_000, 0),
          info.labels(),
          info.draining());
    }

    /** Returns a simulation whose only worker runs a task that uses three of its eight cores. */
    private static JobSimulation busy(SimulatedWorker worker) {
      JobSimulation simulation = simulation(worker);
      simulation.workMillis = 4_000;
      simulation.submit(job("a", step(1, 3, List.of())));
      simulation.run(500);
      return simulation;
    }

    private static JobSpec second() {
      return job("b", step(1, 3, List.of()));
    }

    /** Guards against starts beyond a worker's remaining capacity. */
    @Test
    public void startsNothingBeyondRemainingCapacity() {
      SimulatedWorker worker = new SimulatedWorker("w", 8);
      JobSimulation simulation = busy(worker);
      simulation.post(new JobEvent.WorkerSeen(resized(worker, 4)));
      simulation.submit(second());
      simulation.run(2_000);
      assertEquals(simulation.startsOf(SECOND), 0);
      simulation.post(new JobEvent.WorkerSeen(resized(worker, 8)));
      simulation.run(500);
      assertEquals(simulation.startsOf(SECOND), 1);
    }

    /**
     * Guards against an order that is sent after its worker shrank while the placement was stored.
     */
    @Test
    public void startsNothingThatWaitedForTheStore() {
      SimulatedWorker worker = new SimulatedWorker("w", 8);
      JobSimulation simulation = busy(worker);
      simulation.storeUnavailable = true;
      simulation.submit(second());
      simulation.run(200);
      simulation.post(new JobEvent.WorkerSeen(resized(worker, 4)));
      simulation.restoreStore();
      simulation.run(2_000);
      assertEquals(simulation.startsOf(SECOND), 0);
    }

    /** Guards against an order that is resent after its worker shrank. */
    @Test
    public void resendsNoOrderBeyondRemainingCapacity() {
      SimulatedWorker worker = new SimulatedWorker("w", 8);
      JobSimulation simulation = busy(worker);
      simulation.delay =
          effect ->
              effect instanceof JobEffect.StartRun start && start.run().task().equals(SECOND)
                  ? 60_000
                  : 0;
      simulation.submit(second());
      simulation.run(500);
      simulation.post(new JobEvent.WorkerSeen(resized(worker, 4)));
      simulation.run(500);
      simulation.delay = effect -> 0;
      simulation.run(2_000);
      assertEquals(simulation.startsOf(SECOND), 0);
    }
  }
}
