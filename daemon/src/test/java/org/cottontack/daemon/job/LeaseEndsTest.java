package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.stream.Collectors;
import org.cottontack.core.Moment;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.job.LeaseEndBounds;
import org.cottontack.core.job.WorkerIncarnation;
import org.testng.annotations.Test;

/** Tests of how ends of leases pass from one instance's clock to another's. */
public class LeaseEndsTest {

  private static final WorkerIncarnation WORKER =
      WorkerIncarnation.withUniqueIdentifier(new WorkerId("w"));

  private static Moment at(long millis) {
    return new Moment(millis, 90_000 + millis);
  }

  /**
   * Returns the clock of an instance whose clock showed 0 when the store's showed the given time; a
   * response takes 40 ms, 10 of them before the store reads its clock.
   */
  private static StoreClock clock(long storeMillis) {
    StoreClock clock = new StoreClock();
    clock.update(at(1_000), at(1_040), storeMillis + 1_010);
    return clock;
  }

  private static Map<WorkerIncarnation, Long> latest(Map<WorkerIncarnation, LeaseEndBounds> ends) {
    return ends.entrySet().stream()
        .collect(Collectors.toMap(Map.Entry::getKey, end -> end.getValue().latestMillis()));
  }

  /** Ends that one instance writes and another reads. */
  public static class Passing {

    /** Guards against an end that is too early for the next instance, or later than necessary. */
    @Test
    public void neverComesEarlierAndHardlyLater() {
      LeaseEnds writer = new LeaseEnds(clock(50_000));
      LeaseEnds reader = new LeaseEnds(clock(70_000));
      Map<WorkerIncarnation, Long> stored = writer.toStore(Map.of(WORKER, 9_000L), at(2_000));
      long end = reader.fromStore(stored, Long.MAX_VALUE, at(2_000)).get(WORKER).latestMillis();
      // 9,000 here is 59,000 on the store's clock, which the reader's shows 20,000 earlier.
      long exact = 9_000 - 20_000;
      assertTrue(end >= exact && end <= exact + 80, "end " + end);
    }

    @Test
    public void isNeverLaterThanTheEndOfAllLeases() {
      LeaseEnds reader = new LeaseEnds(clock(50_000));
      assertEquals(
          reader.fromStore(Map.of(WORKER, 99_000L), 5_000, at(2_000)),
          Map.of(WORKER, LeaseEndBounds.exactly(5_000)));
      LeaseEnds unknown = new LeaseEnds(new StoreClock());
      assertEquals(
          unknown.fromStore(Map.of(WORKER, 51_000L), 5_000, at(2_000)),
          Map.of(WORKER, new LeaseEndBounds(2_000, 5_000)));
    }

    /** Guards against leases that are extended past an end which the next leader knows better. */
    @Test
    public void isBoundedFromBothSides() {
      LeaseEnds reader = new LeaseEnds(clock(50_000));
      LeaseEndBounds bounds =
          reader.fromStore(Map.of(WORKER, 59_000L), Long.MAX_VALUE, at(2_000)).get(WORKER);
      assertEquals(bounds, new LeaseEndBounds(8_990, 9_030));
    }

    /** Guards against leases that are extended past an end by the time of a suspension. */
    @Test
    public void passesDuringSuspension() {
      LeaseEnds reader = new LeaseEnds(clock(50_000));
      Moment resumed = new Moment(2_000, 90_000 + 8_000);
      LeaseEndBounds bounds =
          reader.fromStore(Map.of(WORKER, 59_000L), Long.MAX_VALUE, resumed).get(WORKER);
      assertEquals(bounds, new LeaseEndBounds(2_990, 9_030));
    }

    /** Guards against an end that comes later with each change of leaders. */
    @Test
    public void keepsItsValueFromLeaderToLeader() {
      Map<WorkerIncarnation, Long> stored = Map.of(WORKER, 59_000L);
      for (int i = 0; i < 5; i++) {
        LeaseEnds next = new LeaseEnds(clock(50_000));
        stored = next.toStore(latest(next.fromStore(stored, Long.MAX_VALUE, at(3_000))), at(3_000));
      }
      assertEquals(stored, Map.of(WORKER, 59_000L));
    }

    @Test
    public void writesLaterEnds() {
      LeaseEnds writer = new LeaseEnds(clock(50_000));
      writer.fromStore(Map.of(WORKER, 59_000L), Long.MAX_VALUE, at(2_000));
      long later = writer.toStore(Map.of(WORKER, 10_000L), at(2_000)).get(WORKER);
      assertTrue(later >= 60_000, "later " + later);
    }

    /** Guards against an end that no instance could translate back. */
    @Test
    public void leavesOutEndsWithoutTheStoresClock() {
      LeaseEnds writer = new LeaseEnds(new StoreClock());
      assertEquals(writer.toStore(Map.of(WORKER, 9_000L), at(2_000)), Map.of());
    }

    /**
     * Guards against an end that is too early because its writer was suspended and its monotonic
     * clock stood still.
     */
    @Test
    public void countsTimeOfSuspension() {
      LeaseEnds writer = new LeaseEnds(clock(50_000));
      Moment resumed = new Moment(2_000, 90_000 + 8_000);
      long end = writer.toStore(Map.of(WORKER, 9_000L), resumed).get(WORKER);
      assertTrue(end >= 50_000 + 8_000 + 7_000, "end " + end);
    }
  }
}
