package org.cottontack.core.job;

import static org.testng.Assert.assertEquals;

import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the paces of best-effort tasks beside serving tasks. */
public class PacingTest {

  /** Counts the estimates that are asked for. */
  private static final class CountingInterference implements Interference {

    private final Interference learned = new LearnedInterference();
    private int effects;

    @Override
    public double effect(Worker worker, Task serving, Task bestEffort) {
      effects++;
      return learned.effect(worker, serving, bestEffort);
    }

    @Override
    public void learn(Worker worker, long nowMillis) {
      learned.learn(worker, nowMillis);
    }

    @Override
    public double tolerance(Task serving) {
      return learned.tolerance(serving);
    }

    @Override
    public boolean unknown(Task serving, Task bestEffort) {
      return learned.unknown(serving, bestEffort);
    }

    @Override
    public double availableHeadroom(Task serving, long millis) {
      return learned.availableHeadroom(serving, millis);
    }

    @Override
    public Stream<Pair> pairs() {
      return learned.pairs();
    }

    @Override
    public void restore(Pair pair) {
      learned.restore(pair);
    }
  }

  /** What a report costs. */
  public static class Cost {

    /** Numbers of services and of best-effort tasks on a worker. */
    @DataProvider
    public Object[][] workers() {
      return new Object[][] {{1, 2}, {3, 8}, {4, 16}};
    }

    /** Guards against a report that costs more than each pair on its worker once. */
    @Test(dataProvider = "workers")
    public void estimatesEachEffectOnce(int services, int bestEffort) {
      Task[] tasks =
          Stream.concat(
                  IntStream.range(0, services)
                      .mapToObj(n -> TestWorker.serving("s" + n, "serving" + n)),
                  IntStream.range(0, bestEffort)
                      .mapToObj(n -> TestWorker.bestEffort("f" + n, "image" + n)))
              .toArray(Task[]::new);
      CountingInterference interference = new CountingInterference();
      new Pacing(interference).adjust(TestWorker.with(tasks), 1_000);
      assertEquals(interference.effects, services * bestEffort);
    }
  }
}
