package org.cottontack.core.job;

import static org.cottontack.core.job.JobFixtures.job;

import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of leaders that take the ends of leases in the store to be later than they are. Each leader
 * knows the store's clock from an answer, and by the delay of that answer too late.
 */
public class StoreClockErrorTest {

  private static final List<String> CENTRES = List.of("a", "b", "c");

  /** Time until the leases of a worker that was cut off are in the store, in milliseconds. */
  private static final long STORED_MILLIS = 2_200;

  /** Longest time until two further leaders have waited for the leases, in milliseconds. */
  private static final long LONGEST_WAIT_MILLIS = 20_000;

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

  /** Leaders that reach a worker before they can withdraw its stored end. */
  public static class Grants {

    /** How late the second leader takes the store's clock, and how long the tasks run. */
    @DataProvider
    static Object[][] errors() {
      return Stream.of(0L, 50L, 90L, 150L, 300L, 1_000L)
          .flatMap(
              error ->
                  LongStream.of(6_800, 7_100, 30_000).mapToObj(work -> new Object[] {error, work}))
          .toArray(Object[][]::new);
    }

    /**
     * Guards against a second run of a task whose worker was reached, for a moment, by a leader
     * that could not withdraw the stored end of its leases and took it to be later than it is.
     */
    @Test(dataProvider = "errors")
    public void noTaskRunsTwice(long error, long work) {
      LinkSimulation simulation = new LinkSimulation(1);
      simulation.traced = true;
      simulation.minWorkMillis = work;
      simulation.maxWorkMillis = work;
      simulation.maxReadMillis = 20;
      CENTRES.forEach(centre -> simulation.instance(centre, centre));
      final SimulatedWorker first = simulation.worker("w1", 4, "d");
      final SimulatedWorker second = simulation.worker("w2", 4, "d");
      try {
        simulation.submit(job("j", TestStep.tasks(4).of()));
        simulation.run(2_500);
        final SimulatedWorker lost = first.count() > 0 ? first : second;
        final SimulatedWorker other = lost == first ? second : first;
        cut(simulation, lost);
        simulation.run(STORED_MILLIS);
        simulation.clockErrorMillis = () -> error;
        simulation.kill(awaitLeader(simulation), LONGEST_WAIT_MILLIS);
        LinkSimulation.Instance late = awaitLeader(simulation);
        simulation.clockErrorMillis = () -> 0;
        simulation.cut(late.dataCentre, LinkSimulation.STORE);
        rejoin(simulation, lost);
        simulation.run(1_000);
        cut(simulation, lost);
        simulation.kill(late, LONGEST_WAIT_MILLIS);
        for (long waited = 0; other.count() == 0 && waited < LONGEST_WAIT_MILLIS; waited++) {
          simulation.run(1);
        }
        rejoin(simulation, lost);
        simulation.run(LONGEST_WAIT_MILLIS);
      } catch (AssertionError e) {
        simulation.trace.forEach(System.out::println);
        throw e;
      }
    }
  }
}
