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

/** Tests of decisions while an operator empties data centres. */
public class EvacuationTest {

  private static SimulatedWorker in(String dataCentre, String id) {
    return new SimulatedWorker(id, 8, id + ":1", dataCentre);
  }

  private static boolean isStart(JobEffect effect) {
    return effect instanceof JobEffect.StartRun;
  }

  private static long notes(JobSimulation lab, String name) {
    return lab.seen.stream()
        .filter(JobEffect.Note.class::isInstance)
        .map(JobEffect.Note.class::cast)
        .filter(note -> note.name().equals(name))
        .count();
  }

  /** Each way in which an order to start can leave. */
  public static class Starting {

    /** Guards against first starts in a data centre that is being emptied. */
    @Test
    public void placesNothingThere() {
      SimulatedWorker there = in("a", "w1");
      SimulatedWorker elsewhere = in("b", "w2");
      JobSimulation lab = simulation(there, elsewhere);
      lab.evacuate("a");
      lab.submit(job("j", step(12, 2, List.of())));
      lab.run(400);
      assertEquals(there.count(), 0);
      assertEquals(elsewhere.count(), 4);
      lab.run(3_000);
      assertEquals(lab.phase(new JobId("j")), JobPhase.COMPLETE);
    }

    /** Guards against an order that leaves once its placement is saved, after the request. */
    @Test
    public void sendsNothingThatWaitedForTheStore() {
      SimulatedWorker there = in("a", "w1");
      JobSimulation lab = simulation(there, in("b", "w2"));
      lab.storeUnavailable = true;
      lab.submit(job("j", step(8, 2, List.of())));
      lab.run(100);
      lab.evacuate("a");
      lab.restoreStore();
      lab.run(4_000);
      assertEquals(there.starts.size(), 0);
      assertEquals(lab.phase(new JobId("j")), JobPhase.COMPLETE);
    }

    /** Guards against an unanswered order that is sent again after the request. */
    @Test
    public void sendsNothingAgain() {
      SimulatedWorker there = in("a", "w1");
      JobSimulation lab = simulation(there);
      lab.workMillis = 60_000;
      lab.lost = EvacuationTest::isStart;
      lab.late = EvacuationTest::isStart;
      lab.submit(job("j", step(1, 2, List.of())));
      lab.run(500);
      lab.evacuate("a");
      lab.run(6_000);
      assertEquals(there.count(), 0);
      lab.lost = effect -> false;
      lab.late = effect -> false;
      lab.evacuate();
      lab.run(1_000);
      assertEquals(there.count(), 1);
    }

    /** Guards against starts on the next life of a worker there, under either identifier. */
    @Test
    public void nextLifeGetsNothing() {
      for (boolean keepsIds : new boolean[] {false, true}) {
        JobSimulation lab = simulation(in("a", "w1"), in("a", "w2"));
        lab.keepsIds = keepsIds;
        lab.workMillis = 60_000;
        lab.submit(job("j", step(4, 2, List.of())));
        lab.run(500);
        lab.evacuate("a");
        int before = lab.starts();
        List.copyOf(lab.workers.values()).forEach(lab::crash);
        lab.run(15_000);
        assertEquals(lab.starts(), before);
        lab.evacuate();
        lab.run(1_000);
        assertEquals(lab.starts(), before + 4);
      }
    }

    /** Guards against starts by a leader that takes over during an evacuation. */
    @Test
    public void nextLeaderStartsNothingThere() {
      SimulatedWorker there = in("a", "w1");
      JobSimulation lab = simulation(there);
      lab.evacuate("a");
      lab.submit(job("j", step(2, 2, List.of())));
      lab.run(500);
      lab.killLeader();
      lab.run(2_000);
      lab.takeOver();
      lab.table(JobFixtures.TABLE);
      lab.run(2_000);
      assertEquals(lab.starts(), 0);
      lab.evacuate();
      lab.run(500);
      assertEquals(lab.starts(), 2);
    }

    /** Guards against a run that fails there and is tried again there. */
    @Test
    public void triesAgainElsewhere() {
      SimulatedWorker there = in("a", "w1");
      JobSimulation lab = simulation(there);
      lab.submit(job("j", step(1, 2, List.of())));
      lab.run(300);
      lab.evacuate("a");
      there.failsAll = true;
      lab.run(1_000);
      assertEquals(lab.starts(), 1);
    }

    /** Guards against starts there after other evacuations begin and end. */
    @Test
    public void otherEvacuationsChangeNothing() {
      SimulatedWorker there = in("a", "w1");
      JobSimulation lab = simulation(there, in("b", "w2"));
      lab.evacuate("a");
      lab.evacuate("a", "b");
      lab.submit(job("j", step(2, 2, List.of())));
      lab.run(2_000);
      assertEquals(lab.starts(), 0);
      lab.evacuate("a", "nowhere");
      lab.run(1_000);
      assertEquals(there.starts.size(), 0);
      assertEquals(lab.phase(new JobId("j")), JobPhase.COMPLETE);
    }
  }

  /** What runs in a data centre that is being emptied. */
  public static class Running {

    /** Guards against users who lose a service that could have gone on. */
    @Test
    public void goesOn() {
      SimulatedWorker there = in("a", "w1");
      JobSimulation lab = simulation(there, in("b", "w2"));
      lab.workMillis = 60_000;
      lab.submit(job("s", step(4, 2, List.of(), StepSpec.Trait.LASTS)));
      lab.submit(job("j", step(4, 2, List.of())));
      lab.run(500);
      final int before = there.count();
      assertTrue(before > 0);
      lab.evacuate("a");
      lab.run(20_000);
      assertEquals(there.count(), before);
      assertEquals(lab.starts(), 8);
    }

    /** Guards against a lasting task that is stopped for a place which it may not have. */
    @Test
    public void drainingWorkersTasksStayWhereOnlyEvacuatedRoomIsLeft() {
      SimulatedWorker drains = in("b", "w1");
      JobSimulation lab = simulation(drains);
      lab.workMillis = 60_000;
      lab.submit(job("s", step(1, 2, List.of(), StepSpec.Trait.LASTS)));
      lab.run(500);
      SimulatedWorker there = in("a", "w2");
      lab.workers.put(there.info.id(), there);
      lab.evacuate("a");
      lab.post(new JobEvent.WorkerSeen(there.info));
      lab.post(JobSimulation.draining(drains));
      lab.run(3_000);
      assertEquals(drains.count(), 1);
    }

    /** Guards against operators who cannot tell when a data centre is empty. */
    @Test
    public void isTold() {
      JobSimulation lab = simulation(in("a", "w1"));
      lab.submit(job("j", step(1, 2, List.of())));
      lab.run(200);
      lab.evacuate("a");
      lab.run(5_000);
      lab.evacuate();
      lab.run(100);
      assertEquals(notes(lab, "evacuation.seen"), 1);
      assertTrue(notes(lab, "evacuation.left") > 0);
      assertEquals(notes(lab, "evacuation.ended"), 1);
    }
  }

  /** How the rest of a pool is shared. */
  public static class Sharing {

    private static JobSpec service(String id, int tasks, long cores) {
      return job(id, step(tasks, cores, List.of(), 0, "image", 18, StepSpec.Trait.LASTS));
    }

    /** Guards against services that take the last room of short tasks since empty workers count. */
    @Test
    public void roomThereIsNoneOfThePool() {
      SimulatedWorker rest = in("b", "w2");
      JobSimulation lab = simulation(rest);
      lab.workMillis = 1_000;
      lab.submit(job("short", step(3, 1, List.of())));
      lab.run(1_500);
      lab.workMillis = 60_000;
      lab.submit(service("first", 5, 1));
      lab.run(500);
      SimulatedWorker there = in("a", "w1");
      lab.workers.put(there.info.id(), there);
      lab.evacuate("a");
      lab.post(new JobEvent.WorkerSeen(there.info));
      lab.submit(service("second", 1, 3));
      lab.run(2_000);
      assertEquals(rest.count(), 5);
      lab.evacuate();
      lab.run(500);
      assertEquals(rest.count() + there.count(), 6);
    }
  }

  /** Evacuations among other troubles. */
  public static class Storm {

    /** Seeds of the troubles. */
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
      JobSimulation lab = simulation(workers);
      lab.keepsIds = random.nextBoolean();
      lab.lost = effect -> random.nextInt(20) == 0;
      for (int round = 0; round < 40; round++) {
        lab.submit(job("j" + round, step(1 + random.nextInt(6), 2, List.of())));
        trouble(lab, random);
        lab.run(100 + random.nextInt(900));
      }
      lab.evacuate();
      lab.restoreStore();
      lab.lost = effect -> false;
      lab.run(30_000);
      long open =
          IntStream.range(0, 40)
              .mapToObj(round -> lab.phase(new JobId("j" + round)))
              .filter(phase -> phase != JobPhase.COMPLETE)
              .count();
      assertEquals(open, 0);
      assertFalse(lab.seen.isEmpty());
    }

    private static void trouble(JobSimulation lab, Random random) {
      switch (random.nextInt(6)) {
        case 0 -> lab.evacuate("dc" + random.nextInt(3));
        case 1 -> lab.evacuate("dc0", "dc" + (1 + random.nextInt(2)));
        case 2 -> lab.evacuate();
        case 3 -> {
          List<SimulatedWorker> all = List.copyOf(lab.workers.values());
          SimulatedWorker any = all.get(random.nextInt(all.size()));
          if (!any.dead) {
            lab.crash(any);
          }
        }
        case 4 -> {
          lab.killLeader();
          lab.run(random.nextInt(2_000));
          lab.restoreStore();
          lab.takeOver();
          lab.table(JobFixtures.TABLE);
        }
        default -> {
          lab.storeUnavailable = true;
          lab.run(random.nextInt(1_500));
          lab.restoreStore();
        }
      }
    }
  }
}
