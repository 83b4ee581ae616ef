package org.cottontack.daemon.timeline;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** The time line keeps causal order and says what it dropped. */
public final class TimelineTest {

  private TimelineTest() {}

  /** The hybrid clock. */
  public static final class Clock {

    /** An effect is stamped later than its cause although its process's wall clock is behind. */
    @Test
    public void effectsComeAfterCauses() {
      HybridClock ahead = new HybridClock(() -> 5_000);
      HybridClock behind = new HybridClock(() -> 1_000);
      long cause = ahead.next();
      behind.witness(cause);
      assertTrue(behind.next() > cause);
    }

    /** Stamps stay close to wall time. */
    @Test
    public void staysCloseToWallTime() {
      assertEquals(HybridClock.wallOf(new HybridClock(() -> 5_000).next()), 5_000);
    }
  }

  /** The memory for events. */
  public static final class Ring {

    /** The oldest events go first and are counted. */
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
