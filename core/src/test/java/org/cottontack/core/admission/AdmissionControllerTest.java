package org.cottontack.core.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/**
 * Tests of what is rejected. Typical jobs of the four size classes have 250, 750, 1,500 and 3,000
 * units of work, a chain of 1 s and an objective of 3 s; the pool finishes 1,000 units per second.
 */
public class AdmissionControllerTest {

  private static final long NOW = 20_000;
  private static final Map<SizeClass, Double> WORK =
      Map.of(
          SizeClass.UP_TO_HALF, 250.0,
          SizeClass.UP_TO_MEAN, 750.0,
          SizeClass.UP_TO_TWICE, 1_500.0,
          SizeClass.ABOVE, 3_000.0);

  private static AdmissionController controller(ThroughputMeter meter) {
    AdmissionController controller = new AdmissionController(meter);
    // Three small jobs for each large one keep the mean near 1,000.
    IntStream.range(0, 100)
        .mapToObj(i -> i % 4 == 3 ? List.of(1_500.0, 3_000.0) : List.of(250.0, 750.0))
        .flatMap(List::stream)
        .forEach(work -> controller.arrived(new NewJob("queue", work, work, 1_000, 3_000)));
    return controller;
  }

  /** Serves some classes, each by the work of its typical job. */
  private static ThroughputMeter meter(SizeClass... served) {
    double all = Stream.of(served).mapToDouble(WORK::get).sum();
    ThroughputMeter meter = new ThroughputMeter();
    LongStream.iterate(0, at -> at < NOW, at -> at + 100)
        .forEach(
            at ->
                Stream.of(served)
                    .forEach(
                        size ->
                            meter.record("pool", "queue", size, 100 * WORK.get(size) / all, at)));
    return meter;
  }

  /** Returns jobs of which a tenth is done. */
  private static List<ObservedJob> waiting(int count, double work) {
    return Collections.nCopies(
        count, new ObservedJob("pool", "queue", work, 0.9 * work, true, true, true));
  }

  /** Returns a backlog of as many jobs of each class. */
  private static List<ObservedJob> backlog(int count) {
    return WORK.values().stream().flatMap(work -> waiting(count, work).stream()).toList();
  }

  /** Decides after the backlog has waited for long. */
  private static List<Rejection> decide(AdmissionController controller, List<ObservedJob> open) {
    controller.decide(open, NOW - ThroughputMeter.RATE_MILLIS);
    return controller.decide(open, NOW);
  }

  private static List<Rejection> decide(List<ObservedJob> open) {
    return decide(controller(meter(SizeClass.values())), open);
  }

  private static List<SizeClass> classes(List<Rejection> rejections) {
    return rejections.stream().map(Rejection::size).toList();
  }

  /** Which size classes are rejected. */
  public static class Rejected {

    /**
     * Guards against jobs that are taken although they cannot be useful, and against rejecting
     * small ones that would be placed before the backlog. Before a job of 750 units are 3.6 s of
     * work, before one of 3,000 units 20 s, which is over three objectives at 1,500 per second.
     */
    @Test
    public void onlyWhatWouldBeUselessInTheBetterCase() {
      List<Rejection> rejections = decide(backlog(4));
      assertEquals(classes(rejections), List.of(SizeClass.ABOVE));
      AdmissionLimits.Limit limit = rejections.get(0).limit();
      assertTrue(limit.waitMillis() > 20_000, limit.toString());
      AdmissionLimits limits = new AdmissionLimits(List.of(limit));
      assertTrue(limits.limitFor("queue", 3_000).isPresent());
      assertTrue(limits.limitFor("queue", 750).isEmpty());
      assertEquals(decide(backlog(1)), List.of());
    }

    /** Guards against callers that all return at once, and against returns without bound. */
    @Test
    public void returnInTheOrderOfTheirSize() {
      List<Rejection> rejections = decide(backlog(100));
      assertEquals(classes(rejections), List.of(SizeClass.values()));
      List<Long> retries = rejections.stream().map(r -> r.limit().retryAfterMillis()).toList();
      assertEquals(retries, List.of(8_500L, 9_000L, 9_500L, 10_000L));
    }

    /** Guards against counting late jobs, which are placed after a new one of their size. */
    @Test
    public void notForLateJobs() {
      List<ObservedJob> late =
          backlog(100).stream()
              .map(
                  job ->
                      new ObservedJob("pool", "queue", 500, job.remainingWork(), true, true, false))
              .toList();
      assertEquals(decide(late), List.of());
    }
  }

  /** Cases in which nothing is known or nothing is short. */
  public static class Nothing {

    /** Guards against rejecting while the pool has room. */
    @Test
    public void isRejectedWhileNoJobWaits() {
      List<ObservedJob> running =
          backlog(100).stream()
              .map(
                  job ->
                      new ObservedJob(
                          "pool",
                          "queue",
                          job.declaredWork(),
                          job.remainingWork(),
                          false,
                          true,
                          true))
              .toList();
      assertEquals(decide(running), List.of());
    }

    /**
     * Guards against demand that is taken for what the pool can do, and against early decisions.
     */
    @Test
    public void isRejectedBeforePlacesWereShortForLong() {
      AdmissionController controller = controller(meter(SizeClass.values()));
      long full = NOW - AdmissionController.MIN_FULL_MILLIS;
      controller.decide(backlog(100), full - 500);
      controller.decide(List.of(), full);
      controller.decide(backlog(100), full + 1);
      assertEquals(controller.decide(backlog(100), NOW), List.of());
      assertEquals(controller.decide(backlog(100), NOW + 1).size(), SizeClass.values().length);
    }

    @Test
    public void isRejectedWithoutMeasuredThroughput() {
      assertEquals(decide(controller(meter()), backlog(100)), List.of());
    }
  }

  /** The fairness rule. */
  public static class Fairness {

    /** Guards against large jobs that starve while smaller ones are served. */
    @Test
    public void acceptsClassThatWasServedLess() {
      AdmissionController controller =
          controller(meter(SizeClass.UP_TO_HALF, SizeClass.UP_TO_MEAN, SizeClass.UP_TO_TWICE));
      assertEquals(decide(controller, backlog(4)), List.of());
    }
  }
}
