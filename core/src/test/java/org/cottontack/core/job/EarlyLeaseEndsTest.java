package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;
import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of what it costs that leaders take the stored ends of leases to be earlier than they are.
 */
public class EarlyLeaseEndsTest {

  private static final List<String> CENTRES = List.of("a", "b", "c");
  private static final long STORED_MILLIS = 2_200;
  private static final long WORK_MILLIS = 30_000;

  /** An error that stands for a clock that is not known: no lease is extended. */
  private static final long UNKNOWN_MILLIS = 100_000;

  private static void cut(LinkSimulation simulation, SimulatedWorker worker) {
    String name = LinkSimulation.name(worker);
    CENTRES.forEach(
        centre -> {
          simulation.cut(name, centre);
          simulation.cut(centre, name);
        });
  }

  private static void rejoin(LinkSimulation simulation, SimulatedWorker worker) {
    String name = LinkSimulation.name(worker);
    CENTRES.forEach(
        centre -> {
          simulation.heal(name, centre);
          simulation.heal(centre, name);
        });
  }

  private static LinkSimulation.Instance awaitLeader(LinkSimulation simulation) {
    while (simulation.instances.stream().noneMatch(LinkSimulation.Instance::begun)) {
      simulation.run(1);
    }
    return simulation.instances.stream()
        .filter(LinkSimulation.Instance::begun)
        .findFirst()
        .orElseThrow();
  }

  /** How early the ends are taken, how long each leader lasts, and whether the store is slow. */
  @DataProvider
  static Object[][] chains() {
    return Stream.of(0L, 300L, 1_000L, UNKNOWN_MILLIS)
        .flatMap(
            early ->
                LongStream.of(50, 300, 1_000)
                    .boxed()
                    .flatMap(
                        term ->
                            Stream.of(false, true)
                                .flatMap(
                                    slow ->
                                        Stream.of(false, true)
                                            .map(
                                                killed ->
                                                    new Object[] {early, term, slow, killed}))))
        .toArray(Object[][]::new);
  }

  /** Guards against runs of a worker that answers which end in a chain of short terms. */
  @Test(dataProvider = "chains")
  public void runsOutlastShortTerms(long early, long term, boolean slow, boolean killed) {
    LinkSimulation simulation = new LinkSimulation(1);
    simulation.traced = true;
    simulation.minWorkMillis = WORK_MILLIS;
    simulation.maxWorkMillis = WORK_MILLIS;
    CENTRES.forEach(centre -> simulation.instance(centre, centre));
    final SimulatedWorker first = simulation.worker("w1", 4, "d");
    final SimulatedWorker second = simulation.worker("w2", 4, "d");
    first.percentMillis = WORK_MILLIS / 100;
    second.percentMillis = WORK_MILLIS / 100;
    simulation.submit(job("j", TestStep.tasks(4).of()));
    simulation.run(2_500);
    final SimulatedWorker lost = first.count() > 0 ? first : second;
    cut(simulation, lost);
    simulation.run(STORED_MILLIS);
    simulation.earlyMillis = () -> early;
    end(simulation, killed);
    awaitLeader(simulation);
    rejoin(simulation, lost);
    simulation.storeSlow = slow;
    for (int i = 0; i < 8; i++) {
      awaitLeader(simulation);
      simulation.run(term);
      end(simulation, killed);
    }
    simulation.run(WORK_MILLIS);
    long starts =
        Stream.of(first, second)
            .flatMap(worker -> worker.starts.values().stream())
            .mapToLong(Integer::longValue)
            .sum();
    if (starts != 4) {
      simulation.trace.forEach(System.out::println);
    }
    assertEquals(starts, 4);
  }

  private static void end(LinkSimulation simulation, boolean killed) {
    LinkSimulation.Instance leader = awaitLeader(simulation);
    if (killed) {
      simulation.kill(leader, 500);
    } else {
      simulation.stop(leader, 500);
    }
  }
}
