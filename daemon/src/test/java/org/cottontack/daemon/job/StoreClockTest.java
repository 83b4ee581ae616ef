package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;

import java.util.OptionalLong;
import org.cottontack.core.Moment;
import org.testng.annotations.Test;

/** Tests of how an instance estimates the store's clock. */
public class StoreClockTest {

  private static Moment at(long millis) {
    return new Moment(millis, 90_000 + millis);
  }

  /** Bounds derived from responses. */
  public static class Bounds {

    /**
     * The clock showed 5,000 between request and response, so when the response arrives it shows
     * between 5,000 and 5,040.
     */
    @Test
    public void boundsTheTimeByTheRoundTrip() {
      StoreClock clock = new StoreClock();
      clock.update(at(1_000), at(1_040), 5_000);
      assertEquals(clock.latest(at(1_040)), OptionalLong.of(5_040));
      assertEquals(clock.reached(5_000), OptionalLong.of(1_040));
      assertEquals(clock.earliest(5_000, at(1_040)), OptionalLong.of(1_000));
    }

    @Test
    public void isEmptyBeforeTheFirstResponse() {
      StoreClock clock = new StoreClock();
      clock.update(at(1_000), at(1_040), 0);
      assertEquals(clock.latest(at(1_040)), OptionalLong.empty());
      assertEquals(clock.reached(5_000), OptionalLong.empty());
      assertEquals(clock.earliest(5_000, at(1_040)), OptionalLong.empty());
    }

    /**
     * An instance is suspended for 8 s after a response, and its monotonic clock does not advance
     * meanwhile. A row that it writes on resuming must not seem older than it is, or the next
     * leader would not wait for all leases.
     */
    @Test
    public void countsSuspendedTime() {
      StoreClock clock = new StoreClock();
      clock.update(at(1_000), at(1_040), 5_000);
      assertEquals(clock.latest(new Moment(1_100, 99_100)), OptionalLong.of(13_100));
    }
  }
}
