package org.cottontack.daemon.job;

import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.cottontack.core.Moment;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.job.LeaderLease;
import org.cottontack.core.job.LeaseEndBounds;
import org.cottontack.core.job.WorkerIncarnation;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of instances that know the store's clock only from a response long ago. A candidate learns
 * it once, when it begins to watch the election, and again only from its own renewals.
 */
public class StoreClockDriftTest {

  private static final WorkerIncarnation WORKER =
      WorkerIncarnation.withUniqueIdentifier(new WorkerId("w"));

  /** Margin that each leader adds to the end of leases, in milliseconds. */
  private static final long MARGIN_MILLIS = 100;

  /** Time until which the leases of the worker last, counted from the takeover. */
  private static final long LEASE_MILLIS = 5_000;

  /** How long ago the response came, and by how much the instance's clock is faster, in ppm. */
  @DataProvider
  static Object[][] drifts() {
    return new Object[][] {
      {2_000L, 0L},
      {3_600_000L, 0L},
      {3_600_000L, 20L},
      {3_600_000L, 50L},
      {24 * 3_600_000L, 5L},
      {600_000L, 500L},
      {10_000L, 20_000L},
      {3_600_000L, -50L},
      {24 * 3_600_000L, -5L},
      {600_000L, -500L},
      {10_000L, -20_000L},
    };
  }

  private static long own(long storeMillis, long ppm) {
    return storeMillis + Math.round(storeMillis * ppm / 1e6);
  }

  /** Returns the moment at which the store's clock shows the given time. */
  private static Moment at(long storeMillis, long ppm) {
    return new Moment(own(storeMillis, ppm), own(storeMillis, ppm));
  }

  /** Returns the clock of an instance that had one prompt response when the store's showed 10. */
  private static StoreClock clock(long ppm) {
    StoreClock clock = new StoreClock();
    clock.update(at(5, ppm), at(15, ppm), 10);
    return clock;
  }

  private static LeaseEndBounds bounds(long age, long ppm) {
    return new LeaseEnds(clock(ppm))
        .fromStore(Map.of(WORKER, age + LEASE_MILLIS), Long.MAX_VALUE, at(age, ppm))
        .get(WORKER);
  }

  /** Guards against a new leader that takes leases for ended because its own clock is fast. */
  @Test(dataProvider = "drifts")
  public void leaderWaitsForTheStoredEnd(long age, long ppm) {
    long waitsUntil = bounds(age, ppm).latestMillis() + MARGIN_MILLIS;
    long early = own(age + LEASE_MILLIS, ppm) - waitsUntil;
    assertTrue(early <= 0, "released " + early + " ms too early");
  }

  /** Guards against leases past the stored end because the leader's own clock is slow. */
  @Test(dataProvider = "drifts")
  public void leaderExtendsNoLeasePastTheStoredEnd(long age, long ppm) {
    long late = bounds(age, ppm).earliestMillis() - own(age + LEASE_MILLIS, ppm);
    assertTrue(late <= MARGIN_MILLIS, "extended " + late + " ms too far");
  }

  /** Guards against a wait for the leases of the last leader that ends too early. */
  @Test(dataProvider = "drifts")
  public void leaderWaitsForTheLeasesOfTheLastOne(long age, long ppm) {
    LeaseRow row = new LeaseRow("self/1");
    row.updateClock(at(5, ppm), at(15, ppm), 10);
    LeaseText last =
        LeaseText.parse(
            LeaseText.held("old/1", 7, LeaderLease.GRANT_MILLIS, OptionalLong.of(age - 100)));
    row.inherit(Optional.of(last), own(age, ppm), at(age, ppm), false);
    long end = own(age - 100 + LeaderLease.GRANT_MILLIS, ppm);
    long early = end - row.inheritedLeaseEndMillis() - MARGIN_MILLIS;
    assertTrue(early <= 0, "released " + early + " ms too early");
  }
}
