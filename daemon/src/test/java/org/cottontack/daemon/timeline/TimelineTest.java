package org.cottontack.daemon.timeline;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests of the causal order of timestamps and of the timeline's limit. */
public final class TimelineTest {

  private TimelineTest() {}

  /** The hybrid clock. */
  public static final class Clock {

    /**
     * An effect must have a later timestamp than its cause, even if the wall clock of its process
     * is behind.
     */
    @Test
    public void effectsComeAfterCauses() {
      HybridClock ahead = new HybridClock(() -> 5_000);
      HybridClock behind = new HybridClock(() -> 1_000);
      long cause = ahead.next();
      behind.witness(cause);
      assertTrue(behind.next() > cause);
    }

    /** Timestamps must stay close to wall-clock time. */
    @Test
    public void staysCloseToWallTime() {
      assertEquals(HybridClock.wallOf(new HybridClock(() -> 5_000).next()), 5_000);
    }
  }

  /** The buffer of events. */
  public static final class Buffer {

    /** The oldest events must be dropped first and counted. */
    @Test
    public void dropsTheOldest() {
      Timeline timeline = new Timeline(2);
      for (int i = 0; i < 5; i++) {
        timeline.add(new Timeline.Entry(i, i, "a", "dc", "e", "s" + i, ""));
      }
      assertEquals(timeline.dropped(), 3);
      assertEquals(timeline.select(entry -> true).get(0).subject(), "s3");
    }
  }
}
