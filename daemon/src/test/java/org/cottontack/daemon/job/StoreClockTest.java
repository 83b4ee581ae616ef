package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;

import java.util.OptionalLong;
import org.cottontack.core.Moment;
import org.testng.annotations.Test;

/** Tests of what an instance knows of the store's clock. */
public class StoreClockTest {

  private static Moment at(long millis) {
    return new Moment(millis, 90_000 + millis);
  }

  /** Bounds from answers. */
  public static class Bounds {

    /**
     * The clock showed 5,000 between question and answer, so at the answer between 5,000 and 5,040.
     */
    @Test
    public void boundsTheTimeByTheRoundTrip() {
      StoreClock clock = new StoreClock();
      clock.update(at(1_000), at(1_040), 5_000);
      assertEquals(clock.latest(at(1_040)), OptionalLong.of(5_040));
      assertEquals(clock.reached(5_000), OptionalLong.of(1_040));
    }

    @Test
    public void knowsNothingBeforeAResponse() {
      StoreClock clock = new StoreClock();
      clock.update(at(1_000), at(1_040), 0);
      assertEquals(clock.latest(at(1_040)), OptionalLong.empty());
      assertEquals(clock.reached(5_000), OptionalLong.empty());
    }

    /**
     * An instance is suspended for 8 s after an answer. Its steady clock tells nothing of that; a
     * row that it writes on waking must not seem older than it is, or the next leader would not
     * wait for all leases.
     */
    @Test
    public void countsSuspendedTime() {
      StoreClock clock = new StoreClock();
      clock.update(at(1_000), at(1_040), 5_000);
      assertEquals(clock.latest(new Moment(1_100, 99_100)), OptionalLong.of(13_100));
    }
  }
}
