package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import java.util.OptionalLong;
import org.cottontack.core.Moment;
import org.cottontack.core.job.LeaderLease;
import org.cottontack.core.peer.Payload;
import org.testng.annotations.Test;

/** Tests of the texts written to the lease row of the leader. */
public class LeaseRowTest {

  private static final String OLD_TEXT =
      LeaseText.held("old/1", 7, LeaderLease.GRANT_MILLIS, OptionalLong.empty());

  private static Moment at(long millis) {
    return new Moment(millis, millis);
  }

  private static LeaseText read(Payload text) {
    return LeaseText.parse(new Row(new RowKey("t", "p", "k"), text, 1, false).text());
  }

  /** Leases inherited from earlier leaders. */
  public static class Inheriting {

    @Test
    public void inheritsNothingWithoutAnEarlierLeader() {
      LeaseRow row = new LeaseRow("self/1");
      row.inherit(Optional.empty(), 5_000, at(5_100), false);
      assertEquals(row.inheritedLeaseEndMillis(), 0);
    }

    @Test
    public void waitsForLeasesOfTheLastLeader() {
      LeaseRow row = new LeaseRow("self/1");
      row.inherit(Optional.of(LeaseText.parse(OLD_TEXT)), 5_000, at(5_100), false);
      assertEquals(row.inheritedLeaseEndMillis(), 5_000 + LeaderLease.GRANT_MILLIS);
    }

    /**
     * A leader that yields before it granted any lease passes on only the leases that it inherited.
     */
    @Test
    public void passesOnRemainingInheritedLeases() {
      LeaseRow row = new LeaseRow("self/1");
      row.inherit(Optional.of(LeaseText.parse(OLD_TEXT)), 5_000, at(5_100), false);
      LeaseText free = read(row.free("", at(8_000), 0));
      assertTrue(free.isFree());
      assertEquals(free.grantMillis(), LeaderLease.GRANT_MILLIS - 3_000);
    }
  }

  /** Leaders that have granted no leases beyond those that they inherited. */
  public static class GrantingNothing {

    private static LeaseRow inheriting() {
      LeaseRow row = new LeaseRow("self/1");
      row.inherit(Optional.of(LeaseText.parse(OLD_TEXT)), 5_000, at(5_100), false);
      return row;
    }

    private static long grantMillis(long sentMillis, boolean includesTime, boolean grants) {
      return read(inheriting().held(1, at(sentMillis), includesTime, grants)).grantMillis();
    }

    /** Guards against leaders that delay the tasks of lost workers without granting any lease. */
    @Test
    public void stateTheInheritedLeases() {
      assertEquals(grantMillis(8_000, true, false), LeaderLease.GRANT_MILLIS - 3_000);
      assertEquals(grantMillis(8_000, true, true), LeaderLease.GRANT_MILLIS);
      assertEquals(grantMillis(20_000, true, false), 0);
    }

    /**
     * Guards against a renewal that is stored late, over one that states leases which this leader
     * has granted since.
     */
    @Test
    public void stateTheLongestLeasesWhereTheTextMayBeStoredLate() {
      assertEquals(grantMillis(8_000, false, false), LeaderLease.GRANT_MILLIS);
    }

    /** Guards against leases that outlast the inherited ones. */
    @Test
    public void baseLeasesOnTheInheritedOnes() {
      assertEquals(at(8_000).longestSince(inheriting().inheritedRenewal()), 3_000);
    }

    /**
     * Guards against leases that outlast what the first attempt at a takeover has stated, where the
     * second one came after a suspension.
     */
    @Test
    public void baseLeasesOnTheFirstOfSeveralTakeovers() {
      LeaseRow row = inheriting();
      Moment resumed = new Moment(5_100, 6_100);
      row.inherit(Optional.of(LeaseText.parse(OLD_TEXT)), 5_000, resumed, true);
      assertEquals(resumed.longestSince(row.inheritedRenewal()), 1_100);
    }

    /**
     * Guards against an end that becomes earlier with each leader whose clock runs fast: this one's
     * is 200 ms ahead when a response corrects it.
     */
    @Test
    public void passOnTheEndByTheStoresClock() {
      LeaseRow row = new LeaseRow("self/1");
      row.updateClock(at(1_000), at(1_010), 90_000);
      LeaseText last = LeaseText.parse(LeaseText.held("old/1", 7, 8_500, OptionalLong.of(94_000)));
      row.inherit(Optional.of(last), 5_200, at(5_300), false);
      row.updateClock(at(5_300), at(5_310), 94_100);
      LeaseText held = read(row.held(1, at(5_500), true, false));
      assertEquals(held.sentMillis() + held.grantMillis(), 94_000 + 8_500);
    }
  }

  /** The time that a renewal states. */
  public static class StatingTime {

    private static LeaseRow rowWithClock() {
      LeaseRow row = new LeaseRow("self/1");
      row.updateClock(at(1_000), at(1_010), 90_000);
      return row;
    }

    @Test
    public void statesTheStoreTimeWhenAllowed() {
      assertTrue(read(rowWithClock().held(1, at(1_100), true, true)).sentMillis() >= 90_000);
    }

    @Test
    public void statesNoTimeWhenNotAllowed() {
      assertEquals(read(rowWithClock().held(1, at(1_100), false, true)).sentMillis(), 0);
    }

    @Test
    public void statesNoTimeBeforeTheFirstStoreResponse() {
      assertEquals(read(new LeaseRow("self/1").held(1, at(1_100), true, true)).sentMillis(), 0);
    }
  }
}
