package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.cottontack.core.Moment;
import org.cottontack.core.id.WorkerId;
import org.cottontack.core.job.LeaseEndBounds;
import org.cottontack.core.job.RecoveryFacts;
import org.cottontack.core.job.RunKey;
import org.cottontack.core.job.StartExpiry;
import org.cottontack.core.job.TaskName;
import org.cottontack.core.job.WorkerIncarnation;
import org.testng.annotations.Test;

/** Tests of how ends of leases pass from one instance's clock to another's. */
public class LeaseEndsTest {

  private static final WorkerIncarnation WORKER =
      WorkerIncarnation.withUniqueIdentifier(new WorkerId("w"));

  private static final RunKey RUN = new RunKey(TaskName.parse("a.0.0.0"), 2);
  private static final RecoveryFacts STARTS =
      new RecoveryFacts(
          Map.of(), Map.of(RUN, new StartExpiry(9_000, 12_500)), OptionalLong.of(1_500));

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

  private static RecoveryFacts ends(Map<WorkerIncarnation, Long> ends) {
    return new RecoveryFacts(ends, Map.of(), OptionalLong.empty());
  }

  /** Starts in doubt that one instance writes and another reads. */
  public static class Starts {

    private static StartExpiry read(LeaseEnds reader, RecoveryFacts stored) {
      return reader.startsFromStore(stored.starts()).get(RUN);
    }

    /** Guards against a start that counts as expired while it may arrive. */
    @Test
    public void neverExpireEarlierAndHardlyLater() {
      RecoveryFacts stored = new LeaseEnds(clock(50_000)).toStore(STARTS, at(2_000));
      StartExpiry expiry = read(new LeaseEnds(clock(70_000)), stored);
      assertInTime(expiry.minPinEndMillis(), 9_000 - 20_000);
      assertInTime(expiry.expiresMillis(), 12_500 - 20_000);
    }

    private static void assertInTime(long millis, long exact) {
      assertTrue(millis >= exact && millis <= exact + 80, "at " + millis);
    }

    /** Guards against a time that comes later with each change of leaders. */
    @Test
    public void keepTheirValuesFromLeaderToLeader() {
      final RecoveryFacts first = new LeaseEnds(clock(50_000)).toStore(STARTS, at(2_000));
      RecoveryFacts stored = first;
      for (int i = 0; i < 5; i++) {
        LeaseEnds next = new LeaseEnds(clock(50_000));
        RecoveryFacts read =
            new RecoveryFacts(
                Map.of(),
                next.startsFromStore(stored.starts()),
                next.ignoredFromStore(stored.ignoredStart(), at(3_000)));
        stored = next.toStore(read, at(3_000));
      }
      assertEquals(stored, first);
    }

    /** Guards against an ignored start that counts for longer because it was written later. */
    @Test
    public void ignoredOneKeepsItsTime() {
      RecoveryFacts stored = new LeaseEnds(clock(50_000)).toStore(STARTS, at(2_000));
      LeaseEnds reader = new LeaseEnds(clock(50_000));
      long sent = reader.ignoredFromStore(stored.ignoredStart(), at(3_000)).orElseThrow();
      assertInTime(sent, 1_500);
    }

    /** Guards against waits that are too short where the store's clock is not known. */
    @Test
    public void mayArriveAtAnyTimeWithoutTheStoresClock() {
      RecoveryFacts stored = new LeaseEnds(clock(50_000)).toStore(STARTS, at(2_000));
      LeaseEnds unknown = new LeaseEnds(new StoreClock());
      assertEquals(read(unknown, stored), new StartExpiry(Long.MAX_VALUE, Long.MAX_VALUE));
      assertEquals(
          unknown.ignoredFromStore(stored.ignoredStart(), at(3_000)), OptionalLong.of(3_000));
    }

    /** Guards against an expiry that is too early because its writer was suspended. */
    @Test
    public void countTimeOfSuspension() {
      Moment resumed = new Moment(2_000, 90_000 + 8_000);
      RecoveryFacts stored = new LeaseEnds(clock(50_000)).toStore(STARTS, resumed);
      assertTrue(stored.starts().get(RUN).expiresMillis() >= 50_000 + 8_000 + 10_500);
    }
  }

  /** Ends that one instance writes and another reads. */
  public static class Passing {

    /** Guards against an end that is too early for the next instance, or later than necessary. */
    @Test
    public void neverComesEarlierAndHardlyLater() {
      LeaseEnds writer = new LeaseEnds(clock(50_000));
      LeaseEnds reader = new LeaseEnds(clock(70_000));
      Map<WorkerIncarnation, Long> stored =
          writer.toStore(ends(Map.of(WORKER, 9_000L)), at(2_000)).leaseEnds();
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
        stored =
            next.toStore(ends(latest(next.fromStore(stored, Long.MAX_VALUE, at(3_000)))), at(3_000))
                .leaseEnds();
      }
      assertEquals(stored, Map.of(WORKER, 59_000L));
    }

    @Test
    public void writesLaterEnds() {
      LeaseEnds writer = new LeaseEnds(clock(50_000));
      writer.fromStore(Map.of(WORKER, 59_000L), Long.MAX_VALUE, at(2_000));
      long later = writer.toStore(ends(Map.of(WORKER, 10_000L)), at(2_000)).leaseEnds().get(WORKER);
      assertTrue(later >= 60_000, "later " + later);
    }

    /** Guards against an end that no instance could translate back. */
    @Test
    public void leavesOutEndsWithoutTheStoresClock() {
      LeaseEnds writer = new LeaseEnds(new StoreClock());
      assertEquals(writer.toStore(ends(Map.of(WORKER, 9_000L)), at(2_000)), RecoveryFacts.NONE);
      assertEquals(writer.toStore(STARTS, at(2_000)), RecoveryFacts.NONE);
    }

    /**
     * Guards against an end that is too early because its writer was suspended and its monotonic
     * clock stood still.
     */
    @Test
    public void countsTimeOfSuspension() {
      LeaseEnds writer = new LeaseEnds(clock(50_000));
      Moment resumed = new Moment(2_000, 90_000 + 8_000);
      long end = writer.toStore(ends(Map.of(WORKER, 9_000L)), resumed).leaseEnds().get(WORKER);
      assertTrue(end >= 50_000 + 8_000 + 7_000, "end " + end);
    }
  }
}
