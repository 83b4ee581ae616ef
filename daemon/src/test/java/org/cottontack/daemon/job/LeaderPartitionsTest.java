package org.cottontack.daemon.job;

import static org.testng.Assert.assertFalse;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.cottontack.core.job.TaskName;
import org.cottontack.core.peer.Payload;
import org.cottontack.daemon.job.InstancesSimulation.Entry;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that no task that is done runs again while leaders are deposed and replaced. The elections
 * are random, so a seed repeats the same faults but not the same terms.
 */
public class LeaderPartitionsTest {

  private static final String[] DATA_CENTRES = {"a", "b", "c"};
  private static final int WORKERS = 6;

  /** Longest lease at a worker that cuts leases, in milliseconds. */
  private static final long SHORT_LEASE_MILLIS = 6_000;

  private static final long FULL_LEASE_MILLIS = 10_000;

  /** Rate of the slowest clock that a worker may have. */
  private static final double SLOWEST = 0.98;

  private static Object[][] seeds(long count) {
    return LongStream.range(0, count)
        .mapToObj(seed -> new Object[] {Long.getLong("partitions.seed", 1) + seed})
        .toArray(Object[][]::new);
  }

  private static LeasedWorker worker(int number, Random random) {
    LeasedWorker worker =
        new LeasedWorker("w" + number, DATA_CENTRES[number % DATA_CENTRES.length]);
    worker.maxLeaseMillis = random.nextInt(4) > 0 ? SHORT_LEASE_MILLIS : FULL_LEASE_MILLIS;
    worker.speed = random.nextBoolean() ? SLOWEST : 1;
    return worker;
  }

  private static InstancesSimulation simulation(Random random) {
    InstancesSimulation simulation =
        new InstancesSimulation(
            IntStream.range(0, WORKERS).mapToObj(number -> worker(number, random)).toList());
    simulation.workMillis = () -> 200L + random.nextInt(random.nextBoolean() ? 6_000 : 1_500);
    if (random.nextBoolean()) {
      simulation.delayMillis = order -> random.nextInt(80) == 0 ? 100L + random.nextInt(5_000) : 0;
      simulation.answerDelayMillis = order -> random.nextInt(30) == 0 ? random.nextInt(900) : 0;
    }
    if (random.nextInt(3) == 0) {
      simulation.store.commitBehaviour =
          transaction -> {
            simulation.store.lateMillis = 1_000L + random.nextInt(5_000);
            return commitBehaviour(random.nextInt(60));
          };
    }
    if (random.nextInt(4) > 0) {
      simulation.holdsBytes = () -> random.nextInt(3) > 0;
      simulation.heldMillis = () -> 2L + random.nextInt(random.nextBoolean() ? 10 : 300);
    }
    return simulation;
  }

  private static FakeTableStore.CommitBehaviour commitBehaviour(int draw) {
    return switch (draw) {
      case 0 -> FakeTableStore.CommitBehaviour.LATE;
      case 1 -> FakeTableStore.CommitBehaviour.ANSWER_LOST;
      case 2 -> FakeTableStore.CommitBehaviour.REFUSED;
      default -> FakeTableStore.CommitBehaviour.GOOD;
    };
  }

  /** Cuts a pair: both ways, or only one of them. */
  private static void cut(Entry entry, LeasedWorker worker, Way way) {
    if (way != Way.ANSWERS) {
      entry.ordersCut.add(worker.id());
    }
    if (way != Way.ORDERS) {
      entry.answersCut.add(worker.id());
    }
  }

  private enum Way {
    BOTH,
    ORDERS,
    ANSWERS;

    static Way of(Random random) {
      return values()[random.nextInt(values().length)];
    }
  }

  private static void cutDataCentre(
      InstancesSimulation simulation, String dataCentre, boolean withStore, Way way) {
    simulation.log("cut of " + dataCentre + " withStore=" + withStore + " " + way);
    for (Entry entry : simulation.entries) {
      boolean inside = entry.dataCentre.equals(dataCentre);
      simulation.workers.values().stream()
          .filter(worker -> worker.info.dataCentre().value().equals(dataCentre) != inside)
          .forEach(worker -> cut(entry, worker, way));
      entry.reachesStore &= !inside || !withStore;
    }
  }

  /**
   * Cuts the leader off from the store. It goes on reaching some workers, which no other instance
   * reaches.
   */
  private static void isolateLeader(InstancesSimulation simulation, Random random) {
    simulation.entries.stream()
        .filter(Entry::leads)
        .findAny()
        .ifPresent(
            leader -> {
              simulation.log(leader.name + " is isolated");
              leader.reachesStore = false;
              simulation
                  .workers
                  .values()
                  .forEach(
                      worker -> {
                        boolean reached = random.nextBoolean();
                        simulation.entries.stream()
                            .filter(entry -> reached != (entry == leader))
                            .forEach(entry -> cut(entry, worker, Way.of(random)));
                      });
            });
  }

  private static void heal(InstancesSimulation simulation) {
    simulation.log("heal");
    simulation.entries.forEach(Entry::heal);
  }

  private static <T> T any(List<T> all, Random random) {
    return all.get(random.nextInt(all.size()));
  }

  /** Faults of all kinds in random order. */
  public static class AnyOrder {

    private static final int INSTANCES = 3;
    private static final int STEPS = 60;

    /** Seeds of random series. */
    @DataProvider
    static Object[][] seeds() {
      return LeaderPartitionsTest.seeds(Long.getLong("partitions.seeds", 40));
    }

    /** Guards against a second run of a task that is done, whatever faults overlap. */
    @Test(dataProvider = "seeds")
    public void doneTaskDoesNotRunAgain(long seed) {
      Random random = new Random(seed);
      InstancesSimulation simulation = simulation(random);
      IntStream.range(0, INSTANCES)
          .forEach(number -> simulation.entry("e" + number, DATA_CENTRES[number]));
      simulation.run(3_000);
      for (int i = 0; i < STEPS; i++) {
        disturb(simulation, random, i);
        simulation.run(random.nextInt(random.nextInt(4) == 0 ? 4_000 : 900));
      }
      heal(simulation);
      simulation.run(15_000);
    }

    private static void disturb(InstancesSimulation simulation, Random random, int number) {
      Entry entry = any(simulation.entries, random);
      LeasedWorker worker = any(List.copyOf(simulation.workers.values()), random);
      switch (random.nextInt(14)) {
        case 0, 1, 2 -> entry.submit("j" + number, 1 + random.nextInt(4));
        case 3 ->
            cutDataCentre(
                simulation,
                DATA_CENTRES[random.nextInt(DATA_CENTRES.length)],
                random.nextBoolean(),
                Way.BOTH);
        case 4, 5 -> heal(simulation);
        case 6 -> entry.reachesStore = random.nextBoolean();
        case 7 -> entry.kill(100L + random.nextInt(3_000));
        case 8, 9 -> entry.restart(100L + random.nextInt(1_500));
        case 10 -> simulation.entries.forEach(each -> cut(each, worker, Way.of(random)));
        case 11 -> entry.process.pause(random.nextInt(4_000), random.nextBoolean());
        case 12 -> isolateLeader(simulation, random);
        default -> simulation.run(random.nextInt(9_000));
      }
    }
  }

  /** Instances that restart one after the other while a data centre or the leader is cut off. */
  public static class Restarting {

    private static final int INSTANCES = 5;
    private static final int ROUNDS = 3;
    private static final int JOBS = 25;
    private static final int ROUND_MILLIS = 20_000;

    /** Wait for the leases of a leader, about which cuts end, in milliseconds. */
    private static final long WAIT_MILLIS = 8_300;

    /** Seeds of random series. */
    @DataProvider
    static Object[][] seeds() {
      return LeaderPartitionsTest.seeds(Long.getLong("partitions.seeds", 30));
    }

    /** Guards against a second run of a task that is done while instances are replaced in turn. */
    @Test(dataProvider = "seeds")
    public void doneTaskDoesNotRunAgain(long seed) {
      Random random = new Random(seed);
      InstancesSimulation simulation = simulation(random);
      boolean larger = random.nextBoolean();
      IntStream.range(0, INSTANCES)
          .forEach(
              number ->
                  simulation.entry(
                      "e" + number,
                      DATA_CENTRES[number % DATA_CENTRES.length],
                      larger && number % 2 == 0
                          ? ElectionSimulation.LARGE
                          : ElectionSimulation.SMALL));
      simulation.run(3_000);
      for (int round = 0; round < ROUNDS; round++) {
        plan(simulation, random, round);
        simulation.run(ROUND_MILLIS);
        heal(simulation);
        simulation.run(2_000);
      }
    }

    private static void plan(InstancesSimulation simulation, Random random, int round) {
      for (int i = 0; i < JOBS; i++) {
        String id = "j" + round + "-" + i;
        simulation.after(
            random.nextInt(ROUND_MILLIS - 2_000),
            () -> any(simulation.entries, random).submit(id, 1 + random.nextInt(4)));
      }
      final long first = 3_000L + random.nextInt(1_000);
      planRestarts(simulation, random, first);
      planCuts(simulation, random, first);
      if (random.nextInt(3) == 0) {
        LeasedWorker worker = any(List.copyOf(simulation.workers.values()), random);
        RowKey row = InstancesSimulation.listing(worker);
        simulation.after(
            first + random.nextInt(2_000), () -> simulation.write(Map.of(), List.of(row)));
        simulation.after(
            first + 2_000 + random.nextInt(8_000),
            () -> simulation.write(Map.of(row, Payload.of("1")), List.of()));
      }
      if (random.nextInt(3) == 0) {
        Entry entry = any(simulation.entries, random);
        long millis = random.nextInt(4_000);
        boolean clockToo = random.nextBoolean();
        simulation.after(
            first + random.nextInt(9_000), () -> entry.process.pause(millis, clockToo));
      }
    }

    private static void planRestarts(InstancesSimulation simulation, Random random, long first) {
      final long gap = 1_000L + random.nextInt(600);
      final int offset = random.nextInt(INSTANCES);
      for (int i = 0; i < INSTANCES; i++) {
        Entry entry = simulation.entries.get((i + offset) % INSTANCES);
        long downMillis = 200L + random.nextInt(1_500);
        boolean killed = random.nextInt(8) == 0;
        simulation.after(
            first + i * gap,
            () -> {
              if (killed) {
                entry.kill(downMillis);
              } else {
                entry.restart(downMillis);
              }
            });
      }
    }

    private static void planCuts(InstancesSimulation simulation, Random random, long first) {
      long from = first + random.nextInt(random.nextBoolean() ? 300 : 5_000) - 150;
      String dataCentre = DATA_CENTRES[random.nextInt(DATA_CENTRES.length)];
      boolean withStore = random.nextBoolean();
      Way way = Way.of(random);
      simulation.after(from, () -> cutDataCentre(simulation, dataCentre, withStore, way));
      if (random.nextBoolean()) {
        LeasedWorker worker = any(List.copyOf(simulation.workers.values()), random);
        Entry only = any(simulation.entries, random);
        simulation.after(
            first + random.nextInt(300) - 150,
            () ->
                simulation.entries.stream()
                    .filter(entry -> entry != only)
                    .forEach(entry -> cut(entry, worker, Way.of(random))));
      }
      if (random.nextBoolean()) {
        long isolated = first + random.nextInt(6_000) - 1_000;
        simulation.after(isolated, () -> isolateLeader(simulation, random));
        simulation.after(
            isolated + WAIT_MILLIS - 300 + random.nextInt(1_500), () -> heal(simulation));
      } else {
        boolean anyTime = random.nextInt(3) == 0;
        long to =
            anyTime ? from + random.nextInt(9_000) : first + WAIT_MILLIS + random.nextInt(700);
        simulation.after(to, () -> heal(simulation));
      }
    }
  }

  /** A leader that is suspended, so that its steady clock stands still, while it is isolated. */
  public static class Suspended {

    private static final TaskName TASK = TaskName.parse("j.0.0.0");

    /** How long the leader is suspended, and by how much its time of day is set back meanwhile. */
    @DataProvider
    static Object[][] suspensions() {
      return Stream.of(1_000L, 2_000L, 3_000L, 4_000L)
          .flatMap(
              suspended ->
                  Stream.of(0L, 1_000L, 3_000L).map(setBack -> new Object[] {suspended, setBack}))
          .toArray(Object[][]::new);
    }

    /** The same, with enough time to reach the worker before its lease ends. */
    @DataProvider
    static Object[][] longSuspensions() {
      return new Object[][] {{3_000L, 3_000L}, {4_000L, 3_000L}, {4_000L, 4_000L}};
    }

    private InstancesSimulation simulation;

    /**
     * Isolates the leader together with the worker that has the task, until the next leader starts
     * the task again, and returns the first worker.
     */
    private LeasedWorker runUntilStartedAgain(long suspended, long setBack) {
      LeasedWorker one = new LeasedWorker("w0", "a");
      LeasedWorker two = new LeasedWorker("w1", "b");
      simulation = new InstancesSimulation(List.of(one, two));
      simulation.workMillis = () -> 4_000;
      final Entry leader = simulation.entry("e0", "a");
      simulation.run(1_000);
      final Entry next = simulation.entry("e1", "b");
      simulation.run(2_000);
      leader.submit("j", 1);
      simulation.run(600);
      LeasedWorker with = one.runOf(TASK).isPresent() ? one : two;
      LeasedWorker other = with == one ? two : one;
      leader.reachesStore = false;
      cut(leader, other, Way.BOTH);
      cut(next, with, Way.BOTH);
      leader.process.pause(suspended, true);
      leader.process.clockOffsetMillis -= setBack;
      while (other.startedMillis.isEmpty()) {
        simulation.run(5);
      }
      return with;
    }

    /**
     * Guards against leases of a deposed leader that outlast what the next one waits for, because
     * neither of its clocks shows how old its renewal is.
     */
    @Test(dataProvider = "suspensions")
    public void leasesEndBeforeTheTaskStartsAgain(long suspended, long setBack) {
      LeasedWorker with = runUntilStartedAgain(suspended, setBack);
      assertFalse(with.leased(simulation.now()), "leased until " + with.leaseEndMillis());
    }

    /**
     * Guards against a second run of a task that is done, whose completion is acknowledged later,
     * although the lease of its worker never lapsed.
     */
    @Test(dataProvider = "longSuspensions")
    public void doneTaskDoesNotRunAgain(long suspended, long setBack) {
      runUntilStartedAgain(suspended, setBack);
      heal(simulation);
      simulation.run(5_000);
    }
  }
}
