package org.cottontack.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cottontack.core.id.WorkerId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of what is kept for the next leader. Names in it come from callers. */
public class LearnedTextTest {

  private static final JobQueue QUEUE =
      new JobQueue("a queue\nof ours", "host", "/jobs/", "pool", 0, 2, 1.5, 250, false);

  /** A tail with nothing harmful beside, in milliseconds. */
  private static final double QUIET_TAIL = 20;

  private static Worker crowd(Task serving, Task filling) {
    serving.load = 100;
    filling.load = 4_000;
    return TestWorker.with(serving, filling);
  }

  private static double effect(Interference interference, String serving, String filling) {
    Task one = TestWorker.serving("s", serving);
    Task other = TestWorker.bestEffort("f", filling);
    return interference.effect(TestWorker.with(one, other), one, other);
  }

  /** Names and texts that nobody expects. */
  public static class Hostile {

    /** Images as callers may name them. */
    @DataProvider
    public Object[][] images() {
      return new Object[][] {
        {"plain"}, {""}, {"two words"}, {"a\nb"}, {"50%+ä"}, {"headroom x y 1 2"}
      };
    }

    /**
     * A caller names an image with a space or a line break. The leader changes, and the next one
     * reads what the last one has learned. Were the name taken for fields, each new leader would
     * fail at the start of its term, and all jobs would stand still.
     */
    @Test(dataProvider = "images")
    public void keepsAnyName(String image) {
      Interference interference = new LearnedInterference();
      Worker crowd = crowd(TestWorker.serving("s", image), TestWorker.bestEffort("f", image));
      for (int i = 0; i < 20; i++) {
        interference.learn(crowd, 500L * i);
      }
      DurationEstimates estimates = new DurationEstimates();
      estimates.learn(QUEUE, TestStep.tasks(1).of(), 900);
      Interference next = new LearnedInterference();
      DurationEstimates nextEstimates = new DurationEstimates();
      new LearnedText(next, nextEstimates)
          .restore(
              new LearnedText(interference, estimates).write(Set.of(), Set.of(), Map.of()).text(),
              new HashSet<>(),
              new HashSet<>(),
              new HashMap<>());
      assertEquals(effect(next, image, image), effect(interference, image, image), 0.01);
      assertEquals(
          nextEstimates.millis(QUEUE, TestStep.tasks(1).of()),
          estimates.millis(QUEUE, TestStep.tasks(1).of()));
    }

    /** Texts of another version of this program, and damaged ones. */
    @DataProvider
    public Object[][] texts() {
      return new Object[][] {
        {"headroom only"},
        {"pair web batch 1.00 0.05"},
        {"headroom a b x y"},
        {"queue q 1 2"},
        {"queue q a b c d e f"},
        {"news 1"},
        {"held w0 1"},
        {"held w0 1 x"},
        {"\n"},
      };
    }

    /**
     * Two versions of this program lead in turn during a rolling replacement. A line that one
     * cannot read costs what was learned there; it must not cost the term.
     */
    @Test(dataProvider = "texts")
    public void skipsWhatItCannotRead(String text) {
      Interference interference = new LearnedInterference();
      new LearnedText(interference, new DurationEstimates())
          .restore(
              text + "\nheadroom web batch 5.00 0.05",
              new HashSet<>(),
              new HashSet<>(),
              new HashMap<>());
      assertTrue(effect(interference, "web", "batch") > 0.5);
    }
  }

  /** Lives of workers. */
  public static class OfLives {

    /** Guards against a leader that takes lives sent acknowledgements for ones that hide ends. */
    @Test
    public void keepsBothKindsApart() {
      Set<WorkerIncarnation> hiding = Set.of(new WorkerIncarnation(new WorkerId("a b"), 5));
      Set<WorkerIncarnation> acknowledged = Set.of(new WorkerIncarnation(new WorkerId("c"), 6));
      LearnedText text = new LearnedText(new LearnedInterference(), new DurationEstimates());
      Set<WorkerIncarnation> nextHiding = new HashSet<>();
      Set<WorkerIncarnation> nextAcknowledged = new HashSet<>();
      text.restore(
          text.write(hiding, acknowledged, Map.of()).text(),
          nextHiding,
          nextAcknowledged,
          new HashMap<>());
      assertEquals(nextHiding, hiding);
      assertEquals(nextAcknowledged, acknowledged);
    }

    /** Guards against held ends left out for lives that hide ends. */
    @Test
    public void keepsHeldEndsWhereNotAllFit() {
      Set<WorkerIncarnation> hiding =
          IntStream.range(0, 2_000)
              .mapToObj(i -> new WorkerIncarnation(new WorkerId("w" + i), 1_000_000 + i))
              .collect(Collectors.toSet());
      Map<WorkerIncarnation, Long> held = Map.of(new WorkerIncarnation(new WorkerId("a"), 5), 17L);
      LearnedText text = new LearnedText(new LearnedInterference(), new DurationEstimates());
      LearnedText.Written written = text.write(hiding, hiding, held);
      assertTrue(written.livesCut() > 0);
      Map<WorkerIncarnation, Long> next = new HashMap<>();
      text.restore(written.text(), new HashSet<>(), new HashSet<>(), next);
      assertEquals(next, held);
    }

    /** Guards against held ends that the next leader does not know, or of another life. */
    @Test
    public void keepsHeldEnds() {
      Map<WorkerIncarnation, Long> held =
          Map.of(new WorkerIncarnation(new WorkerId("a b"), 5), 17L);
      LearnedText text = new LearnedText(new LearnedInterference(), new DurationEstimates());
      Map<WorkerIncarnation, Long> next = new HashMap<>();
      Set<WorkerIncarnation> others = new HashSet<>();
      String written = text.write(Set.of(), Set.of(), held).text();
      assertEquals(text.restore(written, others, others, next), 0);
      assertEquals(next, held);
      assertEquals(others, Set.of());
    }
  }

  /** Callers with ever new images. */
  public static class Bounds {

    /**
     * A caller gives each job an image of its own. What is learned stays small: a row that the
     * store does not take would never be saved, nor would the progress that goes with it.
     */
    @Test
    public void staysSmallWithEverNewImages() {
      Interference interference = new LearnedInterference();
      for (int i = 0; i < 600; i++) {
        String image = "image number " + i + " of a caller with long names";
        interference.learn(
            crowd(
                TestWorker.serving("s", image.substring(i % 3)), TestWorker.bestEffort("f", image)),
            500L * i);
      }
      String text =
          new LearnedText(interference, new DurationEstimates())
              .write(Set.of(), Set.of(), Map.of())
              .text();
      assertTrue(
          text.getBytes(StandardCharsets.UTF_8).length <= LearnedText.MOST_BYTES,
          "bytes: " + text.length());
    }

    /** What was heard of last is kept. */
    @Test
    public void forgetsWhatWasNotHeardOfForLongest() {
      Interference interference = new LearnedInterference();
      Worker lasting = crowd(TestWorker.serving("s", "web"), TestWorker.bestEffort("f", "batch"));
      for (int i = 0; i < 600; i++) {
        interference.learn(lasting, 500L * i);
        Worker harmless =
            crowd(TestWorker.serving("s", "web"), TestWorker.bestEffort("f", "image" + i));
        harmless.serving().forEach(task -> task.load = QUIET_TAIL);
        interference.learn(harmless, 500L * i);
      }
      Interference next = new LearnedInterference();
      new LearnedText(next, new DurationEstimates())
          .restore(
              new LearnedText(interference, new DurationEstimates())
                  .write(Set.of(), Set.of(), Map.of())
                  .text(),
              new HashSet<>(),
              new HashSet<>(),
              new HashMap<>());
      assertEquals(effect(next, "web", "batch"), effect(interference, "web", "batch"), 0.01);
      assertTrue(effect(next, "web", "batch") > 1, "harm is known");
    }
  }
}
