package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of links that are cut in one direction, hold orders up, or lose answers. */
public class LinkFaultsTest {

  private static final int SEEDS = Integer.getInteger("links.seeds", 20);
  private static final int FIRST = Integer.getInteger("links.first", 1);
  private static final List<String> CENTRES = List.of("a", "b", "c");

  private static Object[][] seeds(int count) {
    return LongStream.range(FIRST, FIRST + count)
        .mapToObj(seed -> new Object[] {seed})
        .toArray(Object[][]::new);
  }

  /** Links, leaders, workers and the store fail at random. */
  public static class RandomFaults {
    @DataProvider
    static Object[][] all() {
      return seeds(SEEDS);
    }

    /** Guards against a task that runs again though its end is final. */
    @Test(dataProvider = "all")
    public void noTaskRunsTwice(long seed) {
      new Series(seed).play(false);
    }
  }

  /** Instances are restarted one after the other while a data centre is cut off. */
  public static class Rolling {
    @DataProvider
    static Object[][] all() {
      return seeds(SEEDS);
    }

    /** Guards against a task that runs again though its end is final. */
    @Test(dataProvider = "all")
    public void noTaskRunsTwice(long seed) {
      new Series(seed).play(true);
    }
  }

  /** A worker that is cut off comes back about when its tasks may run elsewhere. */
  public static class Returning {
    @DataProvider
    static Object[][] all() {
      return seeds(3 * SEEDS);
    }

    /** Guards against a task that runs again though its end is final. */
    @Test(dataProvider = "all")
    public void noTaskRunsTwice(long seed) {
      new Series(seed).playReturn();
    }
  }

  /** A series of faults that follows from a seed. */
  static final class Series {
    final LinkSimulation simulation;
    private final Random random;
    private final List<JobSpec> jobs = new ArrayList<>();
    private final boolean plain;

    Series(long seed) {
      random = new Random(seed);
      simulation = new LinkSimulation(seed);
      simulation.traced = Boolean.getBoolean("links.trace");
      plain = random.nextBoolean();
      simulation.maxReadMillis = random.nextBoolean() ? 60 : 1_500;
      simulation.heldShare = random.nextInt(3) / 2.0;
      simulation.maxWorkMillis = random.nextBoolean() ? 5_000 : 1_200;
      simulation.minWorkMillis = random.nextBoolean() ? 300 : 20;
      simulation.maxLeaseMillis = random.nextInt(3) == 0 ? 10_000 : 6_000;
      simulation.failShare = random.nextInt(3) == 0 ? 0.02 : 0;
      for (String centre : CENTRES) {
        IntStream.rangeClosed(1, 2).forEach(i -> simulation.instance(centre + i, centre));
        IntStream.rangeClosed(1, 2).forEach(i -> simulation.worker("w" + centre + i, 4, centre));
      }
    }

    private long upTo(long millis) {
      return random.nextInt((int) millis);
    }

    private SimulatedWorker worker() {
      List<SimulatedWorker> alive =
          simulation.workers.values().stream().filter(worker -> !worker.dead).toList();
      return alive.get(random.nextInt(alive.size()));
    }

    private String centre() {
      return CENTRES.get(random.nextInt(CENTRES.size()));
    }

    private LinkSimulation.Instance instance() {
      return simulation.instances.get(random.nextInt(simulation.instances.size()));
    }

    private LinkSimulation.Instance leader() {
      return simulation.instances.stream()
          .filter(instance -> instance.leader())
          .findFirst()
          .orElseGet(this::instance);
    }

    private void submit() {
      StepSpec.Trait[] traits =
          random.nextInt(3) == 0
              ? new StepSpec.Trait[] {StepSpec.Trait.CHECKPOINTS}
              : new StepSpec.Trait[0];
      List<StepSpec> steps = new ArrayList<>();
      steps.add(TestStep.tasks(1 + random.nextInt(8)).cpu(1_000).of(traits));
      if (random.nextBoolean()) {
        steps.add(TestStep.tasks(1 + random.nextInt(3)).cpu(2_000).after(List.of(0)).of(traits));
      }
      JobSpec job = job("j" + jobs.size(), steps.toArray(StepSpec[]::new));
      jobs.add(job);
      simulation.submit(job);
    }

    private void cutFor(String from, String to, long millis) {
      simulation.cut(from, to);
      simulation.after(millis, () -> simulation.heal(from, to));
    }

    private long cutMillis() {
      return switch (random.nextInt(3)) {
        case 0 -> 200 + upTo(2_000);
        case 1 -> 2_000 + upTo(6_000);
        default -> 7_500 + upTo(2_500);
      };
    }

    private void cutSomething() {
      String place = random.nextBoolean() ? centre() : LinkSimulation.name(worker());
      String other = random.nextInt(3) == 0 ? "*" : random.nextInt(4) == 0 ? "store" : centre();
      long millis = cutMillis();
      switch (random.nextInt(3)) {
        case 0 -> cutFor(place, other, millis);
        case 1 -> cutFor(other, place, millis);
        default -> {
          cutFor(place, other, millis);
          cutFor(other, place, millis + (random.nextBoolean() ? 0 : upTo(500)));
        }
      }
    }

    private void disturbOrders() {
      double share = random.nextInt(3) == 0 ? 0.5 : 0.1;
      simulation.faults =
          new LinkSimulation.Faults(
              random.nextBoolean() ? share : 0,
              random.nextBoolean() ? share : 0,
              random.nextBoolean() ? share : 0,
              random.nextBoolean() ? share : 0,
              random.nextBoolean() ? share / 2 : 0);
      simulation.after(200 + upTo(5_000), () -> simulation.faults = LinkSimulation.Faults.NONE);
    }

    private void act() {
      switch (random.nextInt(plain ? 8 : 13)) {
        case 0, 1, 2 -> cutSomething();
        case 3 -> disturbOrders();
        case 4 -> simulation.kill(leader(), 500 + upTo(3_000));
        case 5 -> simulation.stop(leader(), 500 + upTo(3_000));
        case 6 -> simulation.kill(instance(), 500 + upTo(3_000));
        case 7 -> roll();
        case 8 -> simulation.crash(worker(), 100 + upTo(3_000));
        case 9 -> simulation.drain(worker(), 500 + upTo(3_000));
        case 10 -> simulation.vanish(worker(), 200 + upTo(9_000));
        case 11 -> simulation.cancel(jobs.get(random.nextInt(jobs.size())).id());
        default -> {
          simulation.storeSlow = true;
          simulation.after(upTo(4_000), () -> simulation.storeSlow = false);
        }
      }
    }

    private void roll() {
      long gap = 1_100 + upTo(500);
      for (int i = 0; i < simulation.instances.size(); i++) {
        LinkSimulation.Instance next = simulation.instances.get(i);
        simulation.after(i * gap, () -> simulation.stop(next, 900));
      }
    }

    void play(boolean rolling) {
      try {
        submit();
        simulation.run(2_500);
        int steps = 30 + random.nextInt(30);
        for (int i = 0; i < steps; i++) {
          submit();
          if (rolling && i % 20 == 0) {
            roll();
            String place = centre();
            long millis = 4_500 + upTo(1_500);
            simulation.after(
                2_000 + upTo(3_000),
                () -> {
                  cutFor(place, "*", millis);
                  cutFor("*", place, millis);
                });
          }
          if (!rolling || random.nextInt(4) == 0) {
            act();
          }
          simulation.run(100 + upTo(1_500));
        }
        simulation.healAll();
        simulation.faults = LinkSimulation.Faults.NONE;
        for (int i = 0; i < 100 && open() > 0; i++) {
          simulation.run(1_000);
        }
      } catch (AssertionError e) {
        simulation.trace.forEach(System.out::println);
        throw e;
      }
      assertEquals(open(), 0, "open jobs");
    }

    /** Plays the return of one worker around the time at which its tasks may run elsewhere. */
    void playReturn() {
      simulation.stepMillis = 2;
      simulation.failShare = 0;
      simulation.faults = LinkSimulation.Faults.NONE;
      try {
        IntStream.range(0, 3).forEach(i -> submit());
        simulation.run(1_500 + upTo(3_000));
        SimulatedWorker cut =
            simulation.workers.values().stream()
                .filter(worker -> worker.count() > 0)
                .findFirst()
                .orElseGet(this::worker);
        String place =
            random.nextInt(3) == 0 ? cut.info.dataCentre().value() : LinkSimulation.name(cut);
        String other = random.nextInt(3) == 0 ? leader().dataCentre : "*";
        long millis = 6_000 + upTo(5_500);
        int direction = random.nextInt(4);
        if (direction != 1) {
          cutFor(place, other, millis);
        }
        if (direction != 2) {
          cutFor(other, place, millis - (direction == 3 ? upTo(millis) : 0));
        }
        int changes = random.nextInt(4);
        for (int i = 0; i < changes; i++) {
          simulation.after(upTo(random.nextBoolean() ? 1_500 : millis + 500), this::changeLeader);
        }
        if (random.nextInt(3) == 0) {
          simulation.after(upTo(millis), this::disturbOrders);
        }
        if (random.nextInt(4) == 0) {
          simulation.after(upTo(1_000), () -> simulation.vanish(cut, 500 + upTo(millis)));
        }
        for (int i = 0; i < 12; i++) {
          if (random.nextBoolean()) {
            submit();
          }
          simulation.run(1_000);
        }
        simulation.healAll();
        for (int i = 0; i < 100 && open() > 0; i++) {
          simulation.run(1_000);
        }
      } catch (AssertionError e) {
        simulation.trace.forEach(System.out::println);
        throw e;
      }
      assertEquals(open(), 0, "open jobs");
    }

    private void changeLeader() {
      LinkSimulation.Instance leader = leader();
      switch (random.nextInt(4)) {
        case 0 -> simulation.kill(leader, 500 + upTo(2_000));
        case 1 -> simulation.stop(leader, 500 + upTo(2_000));
        case 2 -> cutFor(leader.dataCentre, "store", 1_000 + upTo(8_000));
        default -> cutFor("store", leader.dataCentre, 1_000 + upTo(8_000));
      }
    }

    private long open() {
      return jobs.stream().filter(job -> !simulation.ended(job.id())).count();
    }
  }
}
