package org.cottontack.core.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Tests of the distributions of durations. */
public class DurationTailsTest {

  private static final String QUEUE = "a queue/ü";

  /** Returns the tails of a queue of which one run in 20 takes seven times as long as expected. */
  private static DurationTails tailed(int runs) {
    DurationTails tails = new DurationTails();
    IntStream.range(0, runs)
        .forEach(i -> tails.record(QUEUE, 1_000, i % 20 == 19 ? 7_000 : 950 + i % 5 * 20));
    return tails;
  }

  private static void assertNear(long actual, long expected, double tolerance) {
    assertTrue(Math.abs(actual - expected) <= tolerance * expected, "was " + actual);
  }

  /** Quantiles and remaining durations. */
  public static class Estimates {

    /** Guards against an undeclared tail that is averaged into the usual duration. */
    @Test
    public void distinguishTailFromUsualRuns() {
      DurationTails tails = tailed(400);
      assertNear(tails.quantileMillis(QUEUE, 500, 0.5), 500, 0.1);
      assertNear(tails.quantileMillis(QUEUE, 500, 0.97), 3_500, 0.05);
      assertNear(tails.remainingMillis(QUEUE, 500, 1_000), 2_500, 0.05);
      assertEquals(tails.remainingMillis(QUEUE, 500, 8_000), 8_000);
    }

    /** Guards against decisions from a handful of runs. */
    @Test
    public void areTheExpectationWithoutEvidence() {
      DurationTails tails = tailed(DurationTails.MIN_RUNS - 1);
      assertEquals(tails.quantileMillis(QUEUE, 500, 0.99), 500);
      assertEquals(tails.remainingMillis(QUEUE, 500, 200), 300);
      assertEquals(tails.remainingMillis("other", 500, 900), 0);
      assertThrows(IllegalArgumentException.class, () -> tails.quantileMillis(QUEUE, 500, 1.1));
    }

    /** Guards against a distribution that never follows a change of the workload. */
    @Test
    public void followTheLatestRuns() {
      DurationTails tails = tailed(1_000);
      IntStream.range(0, 3 * DurationTails.MAX_RUNS)
          .forEach(i -> tails.record(QUEUE, 1_000, 3_000));
      assertNear(tails.quantileMillis(QUEUE, 1_000, 0.2), 3_000, 0.05);
    }
  }

  /** Stored lines. */
  public static class Stored {

    /** Guards against a leader that begins without what the last one measured. */
    @Test
    public void areRestored() {
      DurationTails next = new DurationTails();
      List<String> lines = tailed(400).lines().toList();
      lines.forEach(line -> assertTrue(next.restore(line.split(" ", -1))));
      assertNear(next.quantileMillis(QUEUE, 500, 0.5), 500, 0.13);
      assertNear(next.quantileMillis(QUEUE, 500, 0.97), 3_500, 0.13);
      assertEquals(next.lines().toList(), lines);
    }

    /** Guards against a term that fails at its start because of a line of another version. */
    @Test
    public void rejectOtherForms() {
      DurationTails tails = new DurationTails();
      assertFalse(tails.owns("queue"));
      assertFalse(tails.restore(new String[] {"tail", "q"}));
      List.of("1", "1:", "1:0", "99:1", "1:-4", "1:99999999", "x:1")
          .forEach(
              word ->
                  assertThrows(
                      IllegalArgumentException.class,
                      () -> tails.restore(new String[] {"tail", "q", word})));
      assertEquals(tails.lines().count(), 0);
    }

    /** Guards against state and lines that grow with the number of queues and runs. */
    @Test
    public void areBounded() {
      DurationTails tails = new DurationTails();
      IntStream.range(0, 100)
          .forEach(
              queue ->
                  IntStream.range(0, 500)
                      .forEach(i -> tails.record("queue" + queue, 100, 1 + i * i / 2)));
      List<String> lines = tails.lines().toList();
      assertEquals(lines.size(), DurationTails.MAX_QUEUES);
      assertTrue(lines.get(0).startsWith("tail queue99 "), lines.get(0));
      lines.forEach(line -> assertTrue(line.length() < 600, line));
      DurationTails next = new DurationTails();
      lines.forEach(line -> next.restore(line.split(" ", -1)));
      next.record("new", 100, 100);
      assertTrue(next.lines().noneMatch(line -> line.startsWith("tail queue36 ")));
      assertTrue(next.lines().anyMatch(line -> line.startsWith("tail queue99 ")));
    }
  }
}
