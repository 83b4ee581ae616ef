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

/** Tests of what is learned about images that share a worker. */
public class InterferenceTest {

  private static final double TARGET = TestWorker.TARGET_MILLIS;

  /** A serving task alone has a tail of this share of its bound, so a headroom of 2.5. */
  private static final double QUIET_SHARE = 0.4;

  /** The time of reports, two a second. */
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

  private static Task filling(String image) {
    return TestWorker.bestEffort("f" + image, image);
  }

  private static double joined(Interference interference, Worker worker, String image) {
    ContentionSnapshot crowding = worker.contention(interference, 10_000);
    return crowding.strainJoined(worker, filling(image), interference);
  }

  /** Returns the headroom lost by a service at rest whose tail's logarithm grows by a value. */
  private static double lost(double harm) {
    return (1 - Math.exp(-harm)) / QUIET_SHARE;
  }

  /** A rough report: the tail swings by a third either way. */
  private static void report(Interference interference, Worker worker, double harm, Random random) {
    Task serving = worker.serving().findFirst().orElseThrow();
    double swing = Math.exp(0.3 * random.nextGaussian());
    serving.load = QUIET_SHARE * TARGET * Math.exp(harm) * swing;
    interference.learn(worker, REPORTS.addAndGet(500));
  }

  /** Pairs of images. */
  public static class Pairs {

    /**
     * Two images fill beside a serving one, and one of them triples its tail. Reports about both
     * together cannot tell which; then some seconds of reports with the other one alone clear it.
     * The blame moves to the right one, though nothing new is heard of that.
     */
    @Test
    public void blamesTheRightOne() {
      Interference interference = new LearnedInterference();
      Random random = new Random(5);
      Task harmful = filling("harmful");
      Task harmless = filling("harmless");
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
      assertTrue(harm > lost(0.75), "harmful: " + harm);
      double other = interference.effect(both, serving, harmless);
      assertTrue(other < lost(0.2), "harmless: " + other);
    }

    @Test
    public void oneUnknownImageMayTryAndTwoMayNot() {
      Interference interference = new LearnedInterference();
      Worker alone = worker(serving());
      assertTrue(joined(interference, alone, "new") < 0.9);
      Worker tried = worker(serving(), filling("first"));
      assertTrue(joined(interference, tried, "second") > 0.9);
    }

    /**
     * What fills anywhere goes beside the image that hardly anything may join, and leaves the
     * tolerant one to the images that need it.
     */
    @Test
    public void keepsTolerantPlacesForThoseThatNeedThem() {
      Interference interference = new LearnedInterference();
      Random random = new Random(5);
      Task picky = task("p", "picky");
      Worker intolerant = worker(picky, filling("harmful"));
      Worker tolerant = worker(serving(), filling("harmful"), filling("harmless"));
      Worker both = worker(picky, filling("harmless"));
      for (int i = 0; i < 40; i++) {
        report(interference, intolerant, 1.1, random);
        report(interference, tolerant, 0, random);
        report(interference, both, 0, random);
      }
      assertEquals(interference.tolerance(picky), 0.5);
      assertEquals(interference.tolerance(serving()), 1.0);
    }

    /**
     * The leader changes. Without what the last one has learned the next one would put harmful
     * pairs together again, and users of the serving tasks would wait.
     */
    @Test
    public void remembersOverTakeover() {
      Interference interference = new LearnedInterference();
      Random random = new Random(5);
      Task harmful = filling("harmful");
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

    /** Guards against weights that are mild at rest and harm services at the top of a swing. */
    @Test
    public void fillsWithoutHarmWhileServicesSwing() {
      ReplayOutcome mean = Replay.mean(ReplayShape.usual().sharing(SERVICES, HARMFUL), SEEDS);
      assertTrue(mean.serving() > 0.9, mean.toString());
      assertTrue(mean.fills() > 0.8, mean.toString());
    }
  }
}
