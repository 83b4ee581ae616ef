package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.cottontack.core.job.JobFixtures.simulation;
import static org.cottontack.core.job.JobFixtures.step;
import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that lost workers alone make no job fail: none of the tasks here crashes its worker. */
public class UnprovenCrashesTest {

  private static final int WORKERS = 12;

  private static JobSimulation fleet() {
    return simulation(
        IntStream.range(0, WORKERS)
            .mapToObj(i -> new SimulatedWorker("w" + i, 16))
            .toArray(SimulatedWorker[]::new));
  }

  /** Returns the workers that are up, in random order. */
  private static List<SimulatedWorker> alive(JobSimulation simulation, Random random) {
    List<SimulatedWorker> alive =
        new ArrayList<>(
            simulation.workers.values().stream()
                .filter(worker -> !worker.dead && worker.reachable)
                .toList());
    Collections.shuffle(alive, random);
    return alive;
  }

  private static void crash(JobSimulation simulation, Random random, int count) {
    alive(simulation, random).stream().limit(count).forEach(simulation::crash);
  }

  /** What happens to the workers again and again. */
  private enum Trouble {
    SINGLE_CRASHES {
      @Override
      void inject(JobSimulation simulation, Random random) {
        crash(simulation, random, 1);
        simulation.run(1_000);
      }
    },
    CRASHES_IN_PAIRS {
      @Override
      void inject(JobSimulation simulation, Random random) {
        crash(simulation, random, 2);
        simulation.run(2_000);
      }
    },
    LOST_RACKS {
      @Override
      void inject(JobSimulation simulation, Random random) {
        crash(simulation, random, 4);
        simulation.run(3_000 + random.nextInt(1_000));
      }
    },
    TWO_LOST_RACKS {
      @Override
      void inject(JobSimulation simulation, Random random) {
        crash(simulation, random, 3);
        simulation.run(200 + random.nextInt(900));
        crash(simulation, random, 3);
        simulation.run(3_000 + random.nextInt(1_000));
      }
    },
    QUICK_RESTARTS {
      @Override
      void inject(JobSimulation simulation, Random random) {
        simulation.restartMillis = 1_000;
        crash(simulation, random, 3);
        simulation.run(1_200);
      }
    },
    CRASHES_BESIDE_CHANGES_OF_LEADERS {
      @Override
      void inject(JobSimulation simulation, Random random) {
        crash(simulation, random, 2);
        simulation.run(random.nextInt(500));
        simulation.killLeader();
        simulation.run(2_500);
        simulation.takeOver();
        simulation.run(1_000 + random.nextInt(2_000));
      }
    },
    RESTARTS_UNDER_KEPT_IDENTIFIERS {
      @Override
      void inject(JobSimulation simulation, Random random) {
        simulation.keepsIds = true;
        crash(simulation, random, 3);
        simulation.run(1_500 + random.nextInt(1_500));
      }
    },
    CUT_OFF_WORKERS {
      @Override
      void inject(JobSimulation simulation, Random random) {
        List<SimulatedWorker> cut = alive(simulation, random).subList(0, 4);
        cut.forEach(worker -> worker.reachable = false);
        simulation.run(4_500);
        cut.forEach(simulation::unlist);
        simulation.run(random.nextInt(8_000));
        cut.forEach(worker -> worker.reachable = true);
        cut.forEach(simulation::list);
        simulation.run(1_000);
      }
    },
    CUT_OFF_WORKERS_BESIDE_CHANGES_OF_LEADERS {
      @Override
      void inject(JobSimulation simulation, Random random) {
        List<SimulatedWorker> cut = alive(simulation, random).subList(0, 4);
        cut.forEach(worker -> worker.reachable = false);
        cut.forEach(simulation::unlist);
        simulation.killLeader();
        simulation.run(2_500);
        simulation.takeOver();
        simulation.run(random.nextInt(11_000));
        cut.forEach(worker -> worker.reachable = true);
        cut.forEach(simulation::list);
        simulation.run(1_000);
      }
    },
    EVACUATIONS_BESIDE_CRASHES {
      @Override
      void inject(JobSimulation simulation, Random random) {
        crash(simulation, random, 2);
        simulation.evacuate(random.nextBoolean() ? "dc" : "other");
        simulation.run(800);
        simulation.evacuate();
        simulation.run(1_500);
      }
    };

    /** Injects the trouble once and lets the simulation go on for some seconds. */
    abstract void inject(JobSimulation simulation, Random random);
  }

  /** Series of losses. */
  public static class Series {

    private static final int SEEDS = Integer.getInteger("crashes.seeds", 6);
    private static final long MILLIS = 40_000;

    @DataProvider
    static Iterator<Object[]> series() {
      return Stream.of(Trouble.values())
          .flatMap(
              trouble -> IntStream.range(0, SEEDS).mapToObj(seed -> new Object[] {trouble, seed}))
          .iterator();
    }

    /** Guards against jobs that fail because workers are lost under their tasks. */
    @Test(dataProvider = "series")
    public void failNoJob(Trouble trouble, int seed) {
      final Random random = new Random(seed);
      JobSimulation simulation = fleet();
      simulation.workMillis = 2_200;
      List<JobSpec> jobs = new ArrayList<>();
      for (int i = 0; i < 6; i++) {
        jobs.add(job("lasting" + i, step(4, 2, List.of(), StepSpec.Trait.LASTS)));
      }
      jobs.forEach(simulation::submit);
      simulation.run(2_000);
      while (simulation.now < MILLIS) {
        JobSpec next = job("short" + jobs.size(), step(6, 2, List.of()));
        jobs.add(next);
        simulation.submit(next);
        trouble.inject(simulation, random);
      }
      simulation.run(15_000);
      List<String> failed =
          jobs.stream()
              .map(JobSpec::id)
              .filter(id -> simulation.phase(id) == JobPhase.FAILED)
              .map(id -> id + " crashes=" + simulation.mostCrashesUnder(id))
              .toList();
      assertEquals(failed.toString(), "[]", "failed jobs, and the most crashes under a task");
    }
  }
}
