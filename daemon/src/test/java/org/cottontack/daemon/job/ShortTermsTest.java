package org.cottontack.daemon.job;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.cottontack.core.job.JobId;
import org.cottontack.core.job.JobSpec;
import org.cottontack.core.job.LeaderLease;
import org.cottontack.core.job.Resources;
import org.cottontack.core.job.StepSpec;
import org.cottontack.core.job.TaskName;
import org.cottontack.daemon.job.InstancesSimulation.Entry;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of leaders that are lost shortly after they were elected: how long a long-running task of a
 * lost worker is away, and that no task runs twice.
 */
public class ShortTermsTest {

  private static final TaskName TASK = TaskName.parse("j.0.0.0");
  private static final long WORK_MILLIS = 600_000;

  /** Time after which an instance begins again that is not needed any more. */
  private static final long NEVER_MILLIS = 600_000;

  private static JobSpec longRunning(int tasks) {
    StepSpec step =
        new StepSpec(
            tasks,
            new Resources(500, 64, 0),
            900,
            List.of(),
            List.of(StepSpec.Trait.LASTS),
            Optional.empty(),
            Optional.empty(),
            0,
            "",
            0,
            0);
    return new JobSpec(
        new JobId("j"), TestJobs.QUEUE, "payload", List.of(step), JobSpec.Schedule.AT_ONCE);
  }

  private static Optional<Entry> leader(InstancesSimulation simulation) {
    return simulation.entries.stream().filter(Entry::leads).findAny();
  }

  private static Entry awaitLeader(InstancesSimulation simulation) {
    while (leader(simulation).isEmpty()) {
      simulation.run(5);
    }
    return leader(simulation).orElseThrow();
  }

  private static void end(Entry leader, boolean killed, long restartMillis) {
    if (killed) {
      leader.kill(restartMillis);
    } else {
      leader.restart(restartMillis);
    }
  }

  private static void cut(InstancesSimulation simulation, LeasedWorker worker) {
    simulation.entries.forEach(
        entry -> {
          entry.ordersCut.add(worker.id());
          entry.answersCut.add(worker.id());
        });
  }

  /** A worker that is lost together with several leaders. */
  public static class LostWorkers {

    /** Expiry margin, two ticks, and a write and a poll before the start. */
    private static final long MARGIN_MILLIS = 350;

    /** Time from the loss of a leader until the next one has begun, and places tasks. */
    private static final long TAKEOVER_MILLIS = 2_700;

    /** Time from the loss until the kill, number of short terms, their length, and how they end. */
    @DataProvider
    static Object[][] terms() {
      Stream<Object[]> single =
          LongStream.of(0, 150, 300, 600, 900, 1_800).mapToObj(term -> new Object[] {1, term});
      Stream<Object[]> repeated =
          LongStream.of(0, 900, 1_800).mapToObj(term -> new Object[] {2, term});
      return Stream.concat(single, repeated)
          .flatMap(
              terms ->
                  Stream.of(100L, 1_000L)
                      .flatMap(
                          since ->
                              Stream.of(true, false)
                                  .map(killed -> new Object[] {since, terms[0], terms[1], killed})))
          .toArray(Object[][]::new);
    }

    /**
     * Guards against leaders that are lost before they have granted any lease, or stored when the
     * leases of lost workers end, and make the next one wait anew.
     */
    @Test(dataProvider = "terms")
    public void taskReturnsOnceItsLeasesHaveEnded(
        long since, int terms, long term, boolean killed) {
      LeasedWorker one = new LeasedWorker("w0", "a");
      LeasedWorker two = new LeasedWorker("w1", "b");
      one.maxLeaseMillis = 10_000;
      two.maxLeaseMillis = 10_000;
      InstancesSimulation simulation = new InstancesSimulation(List.of(one, two));
      simulation.workMillis = () -> WORK_MILLIS;
      Stream.of("e0", "e1", "e2", "e3").forEach(name -> simulation.entry(name, "a"));
      simulation.run(3_000);
      final Entry first = awaitLeader(simulation);
      first.jobs.intake().submit(longRunning(1), OptionalLong.empty(), answer -> {});
      simulation.run(4_000);
      final LeasedWorker lost = one.runOf(TASK).isPresent() ? one : two;
      final LeasedWorker other = lost == one ? two : one;
      cut(simulation, lost);
      final long lostMillis = simulation.now();
      simulation.run(since);
      final long killedMillis = simulation.now();
      first.kill(NEVER_MILLIS);
      for (int i = 0; i < terms; i++) {
        Entry next = awaitLeader(simulation);
        simulation.run(term);
        end(next, killed, NEVER_MILLIS);
      }
      final long lastMillis = simulation.now();
      while (other.runOf(TASK).isEmpty()) {
        simulation.run(5);
      }
      long bound =
          Math.max(
              killedMillis + LeaderLease.GRANT_MILLIS + MARGIN_MILLIS,
              lastMillis + TAKEOVER_MILLIS);
      assertTrue(
          simulation.now() <= bound,
          "away for " + (simulation.now() - lostMillis) + " ms, killed after " + since);
    }
  }

  /** Random faults while leaders come and go. */
  public static class Faults {

    private static final String[] DATA_CENTRES = {"a", "b", "c"};
    private static final int TASKS = 6;
    private static final int WORKERS = 4;
    private static final int ROUNDS = 30;

    /** Rate of the slowest clock that a worker may have. */
    private static final double SLOWEST = 0.98;

    /** Seeds; the elections are random, so a seed repeats the same faults but not their terms. */
    @DataProvider
    static Object[][] seeds() {
      return LongStream.range(0, Long.getLong("shortTerms.count", 60))
          .mapToObj(seed -> new Object[] {Long.getLong("shortTerms.seed", 1) + seed})
          .toArray(Object[][]::new);
    }

    private static LeasedWorker worker(int number, Random random) {
      LeasedWorker worker =
          new LeasedWorker("w" + number, DATA_CENTRES[number % DATA_CENTRES.length]);
      worker.maxLeaseMillis = random.nextInt(3) > 0 ? 10_000 : 6_000;
      worker.speed = random.nextBoolean() ? SLOWEST : 1;
      return worker;
    }

    private static FakeTableStore.CommitBehaviour commitBehaviour(int draw) {
      return switch (draw) {
        case 0 -> FakeTableStore.CommitBehaviour.LATE;
        case 1 -> FakeTableStore.CommitBehaviour.ANSWER_LOST;
        case 2 -> FakeTableStore.CommitBehaviour.REFUSED;
        default -> FakeTableStore.CommitBehaviour.GOOD;
      };
    }

    private static void disturb(InstancesSimulation simulation, Random random) {
      Entry entry = simulation.entries.get(random.nextInt(simulation.entries.size()));
      List<LeasedWorker> workers = new ArrayList<>(simulation.workers.values());
      LeasedWorker worker = workers.get(random.nextInt(workers.size()));
      switch (random.nextInt(5)) {
        case 0 -> cut(simulation, worker);
        case 1 -> entry.ordersCut.add(worker.id());
        case 2 -> simulation.entries.forEach(Entry::heal);
        case 3 ->
            leader(simulation)
                .ifPresent(
                    leading -> leading.process.pause(random.nextInt(1_500), random.nextBoolean()));
        default -> entry.reachesStore = random.nextBoolean();
      }
    }

    /**
     * Guards against a second run of a task because a leader of a short term has granted leases
     * that last longer than the row of the lease states. Each step checks that no task runs twice
     * and that none is started while an earlier run may hold a lease.
     */
    @Test(dataProvider = "seeds")
    public void noTaskRunsTwice(long seed) {
      Random random = new Random(seed);
      InstancesSimulation simulation =
          new InstancesSimulation(
              IntStream.range(0, WORKERS).mapToObj(number -> worker(number, random)).toList());
      simulation.workMillis = () -> WORK_MILLIS;
      Stream.of("e0", "e1", "e2", "e3")
          .forEach(name -> simulation.entry(name, DATA_CENTRES[random.nextInt(3)]));
      simulation.run(1_000);
      awaitLeader(simulation)
          .jobs
          .intake()
          .submit(longRunning(TASKS), OptionalLong.empty(), answer -> {});
      simulation.run(3_000);
      if (random.nextInt(3) == 0) {
        simulation.store.commitBehaviour =
            transaction -> {
              simulation.store.lateMillis = 300L + random.nextInt(5_000);
              return commitBehaviour(random.nextInt(25));
            };
      }
      for (int round = 0; round < ROUNDS; round++) {
        disturb(simulation, random);
        simulation.run(random.nextInt(random.nextBoolean() ? 300 : 3_500));
        leader(simulation)
            .ifPresent(
                leading -> end(leading, random.nextInt(3) > 0, 500L + random.nextInt(2_000)));
        simulation.run(random.nextInt(2_800));
      }
      simulation.entries.forEach(Entry::heal);
      simulation.run(20_000);
    }
  }
}
