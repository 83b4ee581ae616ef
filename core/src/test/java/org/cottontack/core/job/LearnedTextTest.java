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

/** Tests of the stored form of what a leader has learned. Names in it come from callers. */
public class LearnedTextTest {

  private static final JobQueue QUEUE =
      new JobQueue("a queue\nof ours", "host", "/jobs/", "pool", 0, 2, 1.5, 250, false);

  /** A tail without harmful neighbours, in milliseconds. */
  private static final double QUIET_TAIL = 20;

  private static Worker sharedWorker(Task serving, Task bestEffort) {
    serving.load = 100;
    bestEffort.load = 4_000;
    return TestWorker.with(serving, bestEffort);
  }

  private static double effect(Interference interference, String serving, String bestEffort) {
    Task one = TestWorker.serving("s", serving);
    Task other = TestWorker.bestEffort("f", bestEffort);
    return interference.effect(TestWorker.with(one, other), one, other);
  }

  /** Unusual names and unreadable texts. */
  public static class UnexpectedTexts {

    /** Names that callers may give to images. */
    @DataProvider
    public Object[][] images() {
      return new Object[][] {
        {"plain"}, {""}, {"two words"}, {"a\nb"}, {"50%+ä"}, {"headroom x y 1 2"}
      };
    }

    /**
     * Guards against image names that are read as fields or lines, such as names with a space or a
     * line break. Each new leader would fail at the start of its term when it reads the stored
     * text, and no job would make progress.
     */
    @Test(dataProvider = "images")
    public void keepsAnyName(String image) {
      Interference interference = new LearnedInterference();
      Worker sharedWorker =
          sharedWorker(TestWorker.serving("s", image), TestWorker.bestEffort("f", image));
      for (int i = 0; i < 20; i++) {
        interference.learn(sharedWorker, 500L * i);
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
     * Guards against lines that cannot be read and end the term. Two versions of this program lead
     * in turn during a rolling replacement. An unreadable line may lose what it holds, and nothing
     * else.
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

  /** Incarnations of workers. */
  public static class Incarnations {

    /**
     * Guards against a leader that treats incarnations that were sent acknowledgements as ones with
     * suppressed completions.
     */
    @Test
    public void distinguishesSuppressedFromAcknowledged() {
      Set<WorkerIncarnation> suppressed = Set.of(new WorkerIncarnation(new WorkerId("a b"), 5));
      Set<WorkerIncarnation> acknowledged = Set.of(new WorkerIncarnation(new WorkerId("c"), 6));
      LearnedText text = new LearnedText(new LearnedInterference(), new DurationEstimates());
      Set<WorkerIncarnation> nextSuppressed = new HashSet<>();
      Set<WorkerIncarnation> nextAcknowledged = new HashSet<>();
      text.restore(
          text.write(suppressed, acknowledged, Map.of()).text(),
          nextSuppressed,
          nextAcknowledged,
          new HashMap<>());
      assertEquals(nextSuppressed, suppressed);
      assertEquals(nextAcknowledged, acknowledged);
    }

    /**
     * Guards against deferred acknowledgements that are left out in favour of suppressed
     * completions.
     */
    @Test
    public void keepsDeferredAcknowledgementsWhereNotAllFit() {
      Set<WorkerIncarnation> suppressed =
          IntStream.range(0, 2_000)
              .mapToObj(i -> new WorkerIncarnation(new WorkerId("w" + i), 1_000_000 + i))
              .collect(Collectors.toSet());
      Map<WorkerIncarnation, Long> deferred =
          Map.of(new WorkerIncarnation(new WorkerId("a"), 5), 17L);
      LearnedText text = new LearnedText(new LearnedInterference(), new DurationEstimates());
      LearnedText.Written written = text.write(suppressed, suppressed, deferred);
      assertTrue(written.incarnationsCut() > 0);
      Map<WorkerIncarnation, Long> next = new HashMap<>();
      text.restore(written.text(), new HashSet<>(), new HashSet<>(), next);
      assertEquals(next, deferred);
    }

    /**
     * Guards against deferred acknowledgements that the next leader does not know or takes for
     * those of another incarnation.
     */
    @Test
    public void keepsDeferredAcknowledgements() {
      Map<WorkerIncarnation, Long> deferred =
          Map.of(new WorkerIncarnation(new WorkerId("a b"), 5), 17L);
      LearnedText text = new LearnedText(new LearnedInterference(), new DurationEstimates());
      Map<WorkerIncarnation, Long> next = new HashMap<>();
      Set<WorkerIncarnation> others = new HashSet<>();
      String written = text.write(Set.of(), Set.of(), deferred).text();
      assertEquals(text.restore(written, others, others, next), 0);
      assertEquals(next, deferred);
      assertEquals(others, Set.of());
    }
  }

  /** Size limits, with callers that use ever new images. */
  public static class Bounds {

    /**
     * Guards against a text that grows without limit when a caller gives each job an image of its
     * own. The store would reject a row of that size, and the progress that is saved together with
     * it would be lost as well.
     */
    @Test
    public void staysSmallWithEverNewImages() {
      Interference interference = new LearnedInterference();
      for (int i = 0; i < 600; i++) {
        String image = "image number " + i + " of a caller with long names";
        interference.learn(
            sharedWorker(
                TestWorker.serving("s", image.substring(i % 3)), TestWorker.bestEffort("f", image)),
            500L * i);
      }
      String text =
          new LearnedText(interference, new DurationEstimates())
              .write(Set.of(), Set.of(), Map.of())
              .text();
      assertTrue(
          text.getBytes(StandardCharsets.UTF_8).length <= StoreLimits.STANDARD.sharedRowBytes(),
          "bytes: " + text.length());
    }

    /** Guards against evicting an image that was reported recently. */
    @Test
    public void forgetsImagesReportedLongestAgo() {
      Interference interference = new LearnedInterference();
      Worker recurring =
          sharedWorker(TestWorker.serving("s", "web"), TestWorker.bestEffort("f", "batch"));
      for (int i = 0; i < 600; i++) {
        interference.learn(recurring, 500L * i);
        Worker harmless =
            sharedWorker(TestWorker.serving("s", "web"), TestWorker.bestEffort("f", "image" + i));
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
