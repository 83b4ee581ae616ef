package org.cottontack.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the correction of declared durations. */
public class DurationEstimatesTest {

  private static final JobQueue QUEUE =
      new JobQueue("queue", "host", "/jobs/", "pool", 2, 3, 2.0, 1_000, false);

  private static StepSpec step(long estimateMillis) {
    return TestStep.tasks(1).estimate(estimateMillis).of();
  }

  private static DurationEstimates trained(double spread) {
    DurationEstimates estimates = new DurationEstimates();
    Random random = new Random(7);
    IntStream.range(0, 400)
        .forEach(
            run -> {
              double actual = Math.log(2_000) + 0.5 * random.nextGaussian();
              double declared = actual + spread * random.nextGaussian();
              estimates.learn(
                  QUEUE, step(Math.round(Math.exp(declared))), Math.round(Math.exp(actual)));
            });
    return estimates;
  }

  /** Corrections by queue. */
  public static class Correcting {

    @Test
    public void trustsDeclaredTimesAtFirst() {
      assertEquals(new DurationEstimates().millis(QUEUE, step(700)), 700);
    }

    /**
     * Spread of declared durations, a declared duration, and the range that the estimate must lie
     * in.
     */
    @DataProvider
    public Object[][] declared() {
      return new Object[][] {
        {0.0, 500L, 450L, 550L},
        {0.0, 6_000L, 5_400L, 6_600L},
        {0.9, 200L, 700L, 1_600L},
        {0.9, 20_000L, 2_500L, 6_000L},
      };
    }

    @Test(dataProvider = "declared")
    public void weighsDeclaredTimesByTheirPastAccuracy(
        double spread, long declared, long min, long max) {
      long millis = trained(spread).millis(QUEUE, step(declared));
      assertTrue(millis >= min && millis <= max, "estimated " + millis);
    }
  }

  /** Estimates after a change of leaders. */
  public static class Storing {

    /**
     * Guards against estimates that are lost at a change of leaders. Callers would then be judged
     * by their declared durations again, and jobs that cannot meet their objective would be placed
     * before those that can.
     */
    @Test
    public void survivesTakeover() {
      LearnedText old = new LearnedText(new LearnedInterference(), trained(0.9));
      DurationEstimates estimates = new DurationEstimates();
      new LearnedText(new LearnedInterference(), estimates)
          .restore(
              old.write(Set.of(), Set.of(), Map.of()).text(),
              new HashSet<>(),
              new HashSet<>(),
              new HashMap<>());
      long before = trained(0.9).millis(QUEUE, step(20_000));
      assertEquals((double) estimates.millis(QUEUE, step(20_000)), (double) before, 30.0);
    }
  }
}
