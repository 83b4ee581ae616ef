package org.cottontack.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.testng.annotations.Test;

/** Tests of when instances of different sizes seek leadership. */
public class CandidacyTest {

  private static final Capacity SMALL = new Capacity(360, 10_000);
  private static final Capacity LARGE = new Capacity(1_500, 200_000);
  private static final long MIN_INTERVAL = 30_000;

  /** Comparison of capacities. */
  public static class Sizes {

    @Test
    public void areClearlyLargerAboveTwice() {
      assertTrue(LARGE.clearlyLargerThan(SMALL));
      assertFalse(SMALL.clearlyLargerThan(LARGE));
      assertFalse(new Capacity(720, 20_000).clearlyLargerThan(SMALL));
      assertTrue(new Capacity(360, 20_001).clearlyLargerThan(SMALL));
    }

    /**
     * One instance has more processor time, the other more bandwidth. If each counted as larger
     * than the other, they would take leadership from each other indefinitely.
     */
    @Test
    public void areNotBothLargerThanTheOther() {
      Capacity processor = new Capacity(3_000, 10_000);
      Capacity link = new Capacity(300, 100_000);
      assertFalse(processor.clearlyLargerThan(link));
      assertFalse(link.clearlyLargerThan(processor));
    }

    @Test
    public void roundTripAsText() {
      assertEquals(Capacity.parse(LARGE.text()), Optional.of(LARGE));
      assertEquals(Capacity.parse("a lot"), Optional.empty());
      assertEquals(Capacity.parse("1 2 3"), Optional.empty());
    }
  }

  /** Behaviour while leadership is vacant. */
  public static class TakeoverDelay {

    @Test
    public void waitsForLargerInstancesOnly() {
      Candidacy small = new Candidacy(SMALL, MIN_INTERVAL);
      assertEquals(small.takeoverDelayMillis(LARGE), Candidacy.TAKEOVER_DELAY_MILLIS);
      assertEquals(small.takeoverDelayMillis(SMALL), 0);
      assertEquals(new Candidacy(LARGE, MIN_INTERVAL).takeoverDelayMillis(SMALL), 0);
    }
  }

  /** Requests for leadership while a smaller instance leads. */
  public static class Requests {

    @Test
    public void requestsLeadershipFromSmallerLeadersOnly() {
      assertTrue(new Candidacy(LARGE, MIN_INTERVAL).mayRequest(0, 1, SMALL));
      assertFalse(new Candidacy(LARGE, MIN_INTERVAL).mayRequest(0, 1, LARGE));
      assertFalse(new Candidacy(SMALL, MIN_INTERVAL).mayRequest(0, 1, LARGE));
    }

    /**
     * Another instance has already requested leadership in this term, so this one sends no request.
     * The next leader has had no request yet.
     */
    @Test
    public void sendsNoSecondRequestInTheSameTerm() {
      Candidacy large = new Candidacy(LARGE, MIN_INTERVAL);
      large.requested(1_000, 7, 3);
      large.requested(20_000, 7, 3);
      assertFalse(large.mayRequest(1_000 + MIN_INTERVAL - 1, 3, SMALL));
      assertTrue(large.mayRequest(1_000, 4, SMALL));
      assertTrue(large.mayRequest(1_000 + MIN_INTERVAL, 3, SMALL));
    }

    /**
     * A leader has handed leadership over. For the minimum interval one change of leader is enough,
     * in any term.
     */
    @Test
    public void sendsNoRequestSoonAfterHandover() {
      Candidacy large = new Candidacy(LARGE, MIN_INTERVAL);
      large.handedOver(1_000, 7);
      large.handedOver(20_000, 7);
      assertFalse(large.mayRequest(1_000 + MIN_INTERVAL - 1, 4, SMALL));
      assertTrue(large.mayRequest(1_000 + MIN_INTERVAL, 4, SMALL));
    }

    /**
     * A large leader lost its term to a small one. If it requested leadership at once, leadership
     * would pass back and forth for as long as the cause of the loss lasts.
     */
    @Test
    public void sendsNoRequestSoonAfterOwnTerm() {
      Candidacy large = new Candidacy(LARGE, MIN_INTERVAL);
      large.suppressRequests(1_000);
      assertFalse(large.mayRequest(1_000 + MIN_INTERVAL - 1, 4, SMALL));
      assertTrue(large.mayRequest(1_000 + MIN_INTERVAL, 4, SMALL));
    }
  }
}
