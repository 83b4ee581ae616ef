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
      row.inherit(Optional.empty(), 5_000);
      assertEquals(row.inheritedLeaseEndMillis(), 0);
    }

    @Test
    public void waitsForLeasesOfTheLastLeader() {
      LeaseRow row = new LeaseRow("self/1");
      row.inherit(Optional.of(LeaseText.parse(OLD_TEXT)), 5_000);
      assertEquals(row.inheritedLeaseEndMillis(), 5_000 + LeaderLease.GRANT_MILLIS);
    }

    /**
     * A leader that yields before it granted any lease passes on only the leases that it inherited.
     */
    @Test
    public void passesOnRemainingInheritedLeases() {
      LeaseRow row = new LeaseRow("self/1");
      row.inherit(Optional.of(LeaseText.parse(OLD_TEXT)), 5_000);
      LeaseText free = read(row.free("", at(8_000), false));
      assertTrue(free.isFree());
      assertEquals(free.grantMillis(), LeaderLease.GRANT_MILLIS - 3_000);
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
      assertTrue(read(rowWithClock().held(1, at(1_100), true)).sentMillis() >= 90_000);
    }

    @Test
    public void statesNoTimeWhenNotAllowed() {
      assertEquals(read(rowWithClock().held(1, at(1_100), false)).sentMillis(), 0);
    }

    @Test
    public void statesNoTimeBeforeTheFirstStoreResponse() {
      assertEquals(read(new LeaseRow("self/1").held(1, at(1_100), true)).sentMillis(), 0);
    }
  }
}
