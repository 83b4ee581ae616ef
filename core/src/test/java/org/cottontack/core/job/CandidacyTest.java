package org.cottontack.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.testng.annotations.Test;

/** Tests of what instances of different sizes do about the lead. */
public class CandidacyTest {

  private static final Capacity SMALL = new Capacity(360, 10_000);
  private static final Capacity LARGE = new Capacity(1_500, 200_000);
  private static final long GAP = 30_000;

  /** Sizes. */
  public static class Sizes {

    @Test
    public void areClearlyLargerBeyondTwiceAsMuch() {
      assertTrue(LARGE.clearlyLargerThan(SMALL));
      assertFalse(SMALL.clearlyLargerThan(LARGE));
      assertFalse(new Capacity(720, 20_000).clearlyLargerThan(SMALL));
      assertTrue(new Capacity(360, 20_001).clearlyLargerThan(SMALL));
    }

    /**
     * One instance has more processor, the other more link. Were each larger than the other, they
     * would take the lead from each other for ever.
     */
    @Test
    public void areNotBothLargerThanTheOther() {
      Capacity processor = new Capacity(3_000, 10_000);
      Capacity link = new Capacity(300, 100_000);
      assertFalse(processor.clearlyLargerThan(link));
      assertFalse(link.clearlyLargerThan(processor));
    }

    @Test
    public void surviveAsText() {
      assertEquals(Capacity.parse(LARGE.text()), Optional.of(LARGE));
      assertEquals(Capacity.parse("a lot"), Optional.empty());
      assertEquals(Capacity.parse("1 2 3"), Optional.empty());
    }
  }

  /** When the lead is free. */
  public static class StandingBack {

    @Test
    public void leavesTheLeadToLargerInstancesOnly() {
      Candidacy small = new Candidacy(SMALL, GAP);
      assertEquals(small.standBackMillis(LARGE), Candidacy.STAND_BACK_MILLIS);
      assertEquals(small.standBackMillis(SMALL), 0);
      assertEquals(new Candidacy(LARGE, GAP).standBackMillis(SMALL), 0);
    }
  }

  /** While a smaller instance leads. */
  public static class Asking {

    @Test
    public void asksSmallerLeadersOnly() {
      assertTrue(new Candidacy(LARGE, GAP).mayAsk(0, 1, SMALL));
      assertFalse(new Candidacy(LARGE, GAP).mayAsk(0, 1, LARGE));
      assertFalse(new Candidacy(SMALL, GAP).mayAsk(0, 1, LARGE));
    }

    /**
     * Another instance has asked the leader of this term; the next leader has not been asked yet.
     */
    @Test
    public void keepsQuietAfterOthersHaveAskedInTheSameTerm() {
      Candidacy large = new Candidacy(LARGE, GAP);
      large.requested(1_000, 7, 3);
      large.requested(20_000, 7, 3);
      assertFalse(large.mayAsk(1_000 + GAP - 1, 3, SMALL));
      assertTrue(large.mayAsk(1_000, 4, SMALL));
      assertTrue(large.mayAsk(1_000 + GAP, 3, SMALL));
    }

    /** A leader gave the lead away: for a while one change of leader is enough, in any term. */
    @Test
    public void keepsQuietAfterLeadersHaveHandedOver() {
      Candidacy large = new Candidacy(LARGE, GAP);
      large.handedOver(1_000, 7);
      large.handedOver(20_000, 7);
      assertFalse(large.mayAsk(1_000 + GAP - 1, 4, SMALL));
      assertTrue(large.mayAsk(1_000 + GAP, 4, SMALL));
    }

    /**
     * A large leader lost its term to a small one. Were it to ask at once, the lead would go back
     * and forth for as long as the reason lasts.
     */
    @Test
    public void keepsQuietAfterTermsOfItsOwn() {
      Candidacy large = new Candidacy(LARGE, GAP);
      large.keepQuiet(1_000);
      assertFalse(large.mayAsk(1_000 + GAP - 1, 4, SMALL));
      assertTrue(large.mayAsk(1_000 + GAP, 4, SMALL));
    }
  }
}
