package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of decisions while an operator evacuates data centres. */
public class EvacuationTest {

  private static SimulatedWorker in(String dataCentre, String id) {
    return new SimulatedWorker(id, 8, id + ":1", dataCentre);
  }

  private static boolean isStart(JobEffect effect) {
    return effect instanceof JobEffect.StartRun;
  }

  private static long countLogEvents(JobSimulation simulation, String name) {
    return simulation.effects.stream()
        .filter(JobEffect.Note.class::isInstance)
        .map(JobEffect.Note.class::cast)
        .filter(note -> note.name().equals(name))
        .count();
  }

  /** Each way in which a start order can be sent. */
  public static class Starting {

    /** Guards against first starts in a data centre that is being evacuated. */
    @Test
    public void placesNothingThere() {
      SimulatedWorker there = in("a", "w1");
      SimulatedWorker elsewhere = in("b", "w2");
      JobSimulation simulation = simulation(there, elsewhere);
      simulation.evacuate("a");
      simulation.submit(job("j", step(12, 2, List.of())));
      simulation.run(400);
      assertEquals(there.count(), 0);
      assertEquals(elsewhere.count(), 4);
      simulation.run(3_000);
      assertEquals(simulation.phase(new JobId("j")), JobPhase.COMPLETE);
    }

    /**
     * Guards against an order that is sent after the request because its placement is saved only
     * then.
     */
    @Test
    public void sendsNothingThatWaitedForTheStore() {
      SimulatedWorker there = in("a", "w1");
      JobSimulation simulation = simulation(there, in("b", "w2"));
      simulation.storeUnavailable = true;
      simulation.submit(job("j", step(8, 2, List.of())));
      simulation.run(100);
      simulation.evacuate("a");
      simulation.restoreStore();
      simulation.run(4_000);
      assertEquals(there.starts.size(), 0);
      assertEquals(simulation.phase(new JobId("j")), JobPhase.COMPLETE);
    }

    /** Guards against an unanswered order that is resent after the request. */
    @Test
    public void resendsNothing() {
      SimulatedWorker there = in("a", "w1");
      JobSimulation simulation = simulation(there);
      simulation.workMillis = 60_000;
      simulation.lost = EvacuationTest::isStart;
      simulation.late = EvacuationTest::isStart;
      simulation.submit(job("j", step(1, 2, List.of())));
      simulation.run(500);
      simulation.evacuate("a");
      simulation.run(6_000);
      assertEquals(there.count(), 0);
      simulation.lost = effect -> false;
      simulation.late = effect -> false;
      simulation.evacuate();
      simulation.run(1_000);
      assertEquals(there.count(), 1);
    }

    /**
     * Guards against starts on the next incarnation of a worker there, under the old or a new
     * identifier.
     */
    @Test
    public void nextIncarnationGetsNothing() {
      for (boolean keepsIds : new boolean[] {false, true}) {
        JobSimulation simulation = simulation(in("a", "w1"), in("a", "w2"));
        simulation.keepsIds = keepsIds;
        simulation.workMillis = 60_000;
        simulation.submit(job("j", step(4, 2, List.of())));
        simulation.run(500);
        simulation.evacuate("a");
        int before = simulation.starts();
        List.copyOf(simulation.workers.values()).forEach(simulation::crash);
        simulation.run(15_000);
        assertEquals(simulation.starts(), before);
        simulation.evacuate();
        simulation.run(1_000);
        assertEquals(simulation.starts(), before + 4);
      }
    }

    /** Guards against starts by a leader that takes over during an evacuation. */
    @Test
    public void nextLeaderStartsNothingThere() {
      SimulatedWorker there = in("a", "w1");
      JobSimulation simulation = simulation(there);
      simulation.evacuate("a");
      simulation.submit(job("j", step(2, 2, List.of())));
      simulation.run(500);
      simulation.killLeader();
      simulation.run(2_000);
      simulation.takeOver();
      simulation.table(JobFixtures.TABLE);
      simulation.run(2_000);
      assertEquals(simulation.starts(), 0);
      simulation.evacuate();
      simulation.run(500);
      assertEquals(simulation.starts(), 2);
    }

    /** Guards against a run that fails there and is retried there. */
    @Test
    public void retriesNothingThere() {
      SimulatedWorker there = in("a", "w1");
      JobSimulation simulation = simulation(there);
      simulation.submit(job("j", step(1, 2, List.of())));
      simulation.run(300);
      simulation.evacuate("a");
      there.failsAll = true;
      simulation.run(1_000);
      assertEquals(simulation.starts(), 1);
    }

    /** Guards against starts there after other evacuations begin and end. */
    @Test
    public void otherEvacuationsChangeNothing() {
      SimulatedWorker there = in("a", "w1");
      JobSimulation simulation = simulation(there, in("b", "w2"));
      simulation.evacuate("a");
      simulation.evacuate("a", "b");
      simulation.submit(job("j", step(2, 2, List.of())));
      simulation.run(2_000);
      assertEquals(simulation.starts(), 0);
      simulation.evacuate("a", "nowhere");
      simulation.run(1_000);
      assertEquals(there.starts.size(), 0);
      assertEquals(simulation.phase(new JobId("j")), JobPhase.COMPLETE);
    }
  }

  /** Runs in a data centre that is being evacuated. */
  public static class Running {

    /** Guards against stopping a service that could have continued. */
    @Test
    public void keepsRunning() {
      SimulatedWorker there = in("a", "w1");
      JobSimulation simulation = simulation(there, in("b", "w2"));
      simulation.workMillis = 60_000;
      simulation.submit(job("s", step(4, 2, List.of(), StepSpec.Trait.LASTS)));
      simulation.submit(job("j", step(4, 2, List.of())));
      simulation.run(500);
      final int before = there.count();
      assertTrue(before > 0);
      simulation.evacuate("a");
      simulation.run(20_000);
      assertEquals(there.count(), before);
      assertEquals(simulation.starts(), 8);
    }

    /**
     * Guards against stopping a long-running task when only evacuated workers have capacity for it.
     */
    @Test
    public void tasksOfDrainingWorkersStayWhereOnlyEvacuatedCapacityIsLeft() {
      SimulatedWorker drains = in("b", "w1");
      JobSimulation simulation = simulation(drains);
      simulation.workMillis = 60_000;
      simulation.submit(job("s", step(1, 2, List.of(), StepSpec.Trait.LASTS)));
      simulation.run(500);
      SimulatedWorker there = in("a", "w2");
      simulation.workers.put(there.info.id(), there);
      simulation.evacuate("a");
      simulation.post(new JobEvent.WorkerSeen(there.info));
      simulation.post(JobSimulation.draining(drains));
      simulation.run(3_000);
      assertEquals(drains.count(), 1);
    }

    /** Guards against operators who cannot see when a data centre is empty. */
    @Test
    public void isLogged() {
      JobSimulation simulation = simulation(in("a", "w1"));
      simulation.submit(job("j", step(1, 2, List.of())));
      simulation.run(200);
      simulation.evacuate("a");
      simulation.run(5_000);
      simulation.evacuate();
      simulation.run(100);
      assertEquals(countLogEvents(simulation, "evacuation.seen"), 1);
      assertTrue(countLogEvents(simulation, "evacuation.left") > 0);
      assertEquals(countLogEvents(simulation, "evacuation.ended"), 1);
    }
  }

  /** How the rest of a pool is shared. */
  public static class Sharing {

    private static JobSpec service(String id, int tasks, long cores) {
      return job(id, step(tasks, cores, List.of(), 0, "image", 18, StepSpec.Trait.LASTS));
    }

    /**
     * Guards against services that take the last capacity of short tasks because evacuated workers
     * count.
     */
    @Test
    public void evacuatedCapacityDoesNotCountForThePool() {
      SimulatedWorker rest = in("b", "w2");
      JobSimulation simulation = simulation(rest);
      simulation.workMillis = 1_000;
      simulation.submit(job("short", step(3, 1, List.of())));
      simulation.run(1_500);
      simulation.workMillis = 60_000;
      simulation.submit(service("first", 5, 1));
      simulation.run(500);
      SimulatedWorker there = in("a", "w1");
      simulation.workers.put(there.info.id(), there);
      simulation.evacuate("a");
      simulation.post(new JobEvent.WorkerSeen(there.info));
      simulation.submit(service("second", 1, 3));
      simulation.run(2_000);
      assertEquals(rest.count(), 5);
      simulation.evacuate();
      simulation.run(500);
      assertEquals(rest.count() + there.count(), 6);
    }
  }

  /** Evacuations combined with other faults. */
  public static class FaultInjection {

    /** Seeds of the faults. */
    @DataProvider
    public Object[][] seeds() {
      return LongStream.range(0, 12).mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
    }

    /** Guards against any start there while leaders, workers, orders and the store fail as well. */
    @Test(dataProvider = "seeds")
    public void startsNothingThereAndEndsEveryJob(long seed) {
      Random random = new Random(seed);
      SimulatedWorker[] workers =
          IntStream.range(0, 6)
              .mapToObj(i -> in("dc" + i % 3, "w" + i))
              .toArray(SimulatedWorker[]::new);
      JobSimulation simulation = simulation(workers);
      simulation.keepsIds = random.nextBoolean();
      simulation.lost = effect -> random.nextInt(20) == 0;
      for (int round = 0; round < 40; round++) {
        simulation.submit(job("j" + round, step(1 + random.nextInt(6), 2, List.of())));
        injectFault(simulation, random);
        simulation.run(100 + random.nextInt(900));
      }
      simulation.evacuate();
      simulation.restoreStore();
      simulation.lost = effect -> false;
      simulation.run(30_000);
      long open =
          IntStream.range(0, 40)
              .mapToObj(round -> simulation.phase(new JobId("j" + round)))
              .filter(phase -> phase != JobPhase.COMPLETE)
              .count();
      assertEquals(open, 0);
      assertFalse(simulation.effects.isEmpty());
    }

    private static void injectFault(JobSimulation simulation, Random random) {
      switch (random.nextInt(6)) {
        case 0 -> simulation.evacuate("dc" + random.nextInt(3));
        case 1 -> simulation.evacuate("dc0", "dc" + (1 + random.nextInt(2)));
        case 2 -> simulation.evacuate();
        case 3 -> {
          List<SimulatedWorker> all = List.copyOf(simulation.workers.values());
          SimulatedWorker any = all.get(random.nextInt(all.size()));
          if (!any.dead) {
            simulation.crash(any);
          }
        }
        case 4 -> {
          simulation.killLeader();
          simulation.run(random.nextInt(2_000));
          simulation.restoreStore();
          simulation.takeOver();
          simulation.table(JobFixtures.TABLE);
        }
        default -> {
          simulation.storeUnavailable = true;
          simulation.run(random.nextInt(1_500));
          simulation.restoreStore();
        }
      }
    }
  }
}
