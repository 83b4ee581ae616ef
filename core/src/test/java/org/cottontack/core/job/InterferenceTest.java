package org.cottontack.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

/** Tests of the learned interference between images that share a worker. */
public class InterferenceTest {

  private static final double TARGET = TestWorker.TARGET_MILLIS;

  /** Tail of a serving task that runs alone, as a share of its bound; this is a headroom of 2.5. */
  private static final double QUIET_SHARE = 0.4;

  /** Time of the reports, two a second. */
  private static final AtomicLong REPORTS = new AtomicLong(10_000);

  private static Task task(String id, String image) {
    return TestWorker.serving(id, image);
  }

  private static Worker worker(Task... tasks) {
    return TestWorker.with(tasks);
  }

  private static Task serving() {
    return TestWorker.serving("s", "web");
  }

  private static Task bestEffort(String image) {
    return TestWorker.bestEffort("f" + image, image);
  }

  private static double headroomUseWith(Interference interference, Worker worker, String image) {
    ContentionSnapshot snapshot = worker.contention(interference, 10_000);
    return snapshot.headroomUseWith(worker, bestEffort(image), interference);
  }

  /**
   * Returns the headroom lost by a service at rest when the logarithm of its tail grows by a value.
   */
  private static double lostHeadroom(double harm) {
    return (1 - Math.exp(-harm)) / QUIET_SHARE;
  }

  /** Learns from a noisy report: the tail varies by a third either way. */
  private static void report(Interference interference, Worker worker, double harm, Random random) {
    Task serving = worker.serving().findFirst().orElseThrow();
    double swing = Math.exp(0.3 * random.nextGaussian());
    serving.load = QUIET_SHARE * TARGET * Math.exp(harm) * swing;
    interference.learn(worker, REPORTS.addAndGet(500));
  }

  /** Pairs of images. */
  public static class Pairs {

    /**
     * Guards against harm that stays attributed to a harmless image. Two images run beside a
     * serving one, and one of them triples its tail. Reports about both together cannot show which
     * one does. Some seconds of reports with the other one alone clear it, and the harm must then
     * be attributed to the first one, although no new report shows that one.
     */
    @Test
    public void attributesHarmToTheHarmfulImage() {
      Interference interference = new LearnedInterference();
      Random random = new Random(5);
      Task harmful = bestEffort("harmful");
      Task harmless = bestEffort("harmless");
      Worker both = worker(serving(), harmful, harmless);
      Worker one = worker(serving(), harmless);
      for (int i = 0; i < 20; i++) {
        report(interference, both, 1.1, random);
      }
      for (int i = 0; i < 20; i++) {
        report(interference, one, 0, random);
      }
      Task serving = both.serving().findFirst().orElseThrow();
      double harm = interference.effect(both, serving, harmful);
      assertTrue(harm > lostHeadroom(0.75), "harmful: " + harm);
      double other = interference.effect(both, serving, harmless);
      assertTrue(other < lostHeadroom(0.2), "harmless: " + other);
    }

    @Test
    public void admitsOnlyOneUnknownImage() {
      Interference interference = new LearnedInterference();
      Worker alone = worker(serving());
      assertTrue(headroomUseWith(interference, alone, "new") < 0.9);
      Worker tried = worker(serving(), bestEffort("first"));
      assertTrue(headroomUseWith(interference, tried, "second") > 0.9);
    }

    /**
     * Guards against a wrong tolerance. Best-effort tasks that may run anywhere are placed beside
     * the images that tolerate the fewest others. This leaves tolerant images to the best-effort
     * tasks that need them.
     */
    @Test
    public void toleranceIsTheShareOfHarmlessImages() {
      Interference interference = new LearnedInterference();
      Random random = new Random(5);
      Task intolerant = task("p", "picky");
      Worker harmfulBeside = worker(intolerant, bestEffort("harmful"));
      Worker bothBeside = worker(serving(), bestEffort("harmful"), bestEffort("harmless"));
      Worker harmlessBeside = worker(intolerant, bestEffort("harmless"));
      for (int i = 0; i < 40; i++) {
        report(interference, harmfulBeside, 1.1, random);
        report(interference, bothBeside, 0, random);
        report(interference, harmlessBeside, 0, random);
      }
      assertEquals(interference.tolerance(intolerant), 0.5);
      assertEquals(interference.tolerance(serving()), 1.0);
    }

    /**
     * Guards against weights that are lost at a change of leaders. The next leader would place
     * harmful pairs together again, and users of the serving tasks would see slow responses.
     */
    @Test
    public void keepsWeightsOverTakeover() {
      Interference interference = new LearnedInterference();
      Random random = new Random(5);
      Task harmful = bestEffort("harmful");
      Worker worker = worker(serving(), harmful);
      for (int i = 0; i < 20; i++) {
        report(interference, worker, 1.1, random);
      }
      Interference next = new LearnedInterference();
      LearnedText old = new LearnedText(interference, new DurationEstimates());
      new LearnedText(next, new DurationEstimates())
          .restore(
              old.write(Set.of(), Set.of(), Map.of()).text(),
              new HashSet<>(),
              new HashSet<>(),
              new HashMap<>());
      Task serving = worker.serving().findFirst().orElseThrow();
      assertEquals(
          next.effect(worker, serving, harmful),
          interference.effect(worker, serving, harmful),
          0.01);
    }
  }

  /** Loads replayed against all decisions of a leader. */
  public static class Replayed {

    private static final double SERVICES = 0.8;
    private static final double HARMFUL = 0.6;
    private static final int SEEDS = 3;

    /** Guards against weights that are low at rest and harm services at the top of a swing. */
    @Test
    public void runsBestEffortTasksWithoutHarmWhileServiceLoadSwings() {
      ReplayOutcome mean = Replay.mean(ReplayShape.usual().sharing(SERVICES, HARMFUL), SEEDS);
      assertTrue(mean.serving() > 0.9, mean.toString());
      assertTrue(mean.bestEffort() > 0.8, mean.toString());
    }
  }
}
