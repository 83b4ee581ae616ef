package org.cottontack.core.job;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests of orders without an answer that may bring a lease to a later incarnation. */
public class LateLeasesTest {

  private static final RunKey RUN = new RunKey(TaskName.parse("job.0.0.0"), 1);
  private static final long SENT = 1_000;
  private static final long LAST = SENT + LateStart.LATEST_MILLIS;

  private static LateLeases started() {
    LateLeases leases = new LateLeases();
    leases.startSent(RUN, SENT);
    return leases;
  }

  private static LateLeases polled(boolean offersLease) {
    LateLeases leases = new LateLeases();
    leases.pollSent(offersLease, SENT);
    return leases;
  }

  /** Polls. */
  public static class Polls {

    /** Guards against a lease that is not waited for because its poll got no answer. */
    @Test
    public void mayComeLateWhereUnanswered() {
      LateLeases leases = polled(true);
      leases.unanswered();
      assertTrue(leases.mayHaveReached(LAST - 1));
      assertFalse(leases.mayHaveReached(LAST));
    }

    /** Guards against waiting for a lease that no poll has offered. */
    @Test
    public void grantNoLeaseWhenNoneIsOffered() {
      LateLeases leases = polled(false);
      leases.unanswered();
      assertFalse(leases.mayHaveReached(SENT));
    }

    /**
     * Guards against waiting for a lease that was accepted by the incarnation for which it was
     * meant.
     */
    @Test
    public void areResolvedByTheirAnswer() {
      LateLeases leases = polled(true);
      leases.answered();
      leases.unanswered();
      assertFalse(leases.mayHaveReached(SENT));
    }
  }

  /** Starts. */
  public static class Starts {

    /** Guards against a start in flight at a crash whose lease is not waited for. */
    @Test
    public void mayComeLateWhereUnanswered() {
      assertTrue(started().mayHaveReached(LAST - 1));
      assertFalse(started().mayHaveReached(LAST));
    }

    /** Guards against treating a missing answer as an answer. */
    @Test
    public void mayComeLateWhenAnswerIsMissing() {
      LateLeases leases = started();
      leases.startAnswered(RUN, false);
      assertTrue(leases.mayHaveReached(LAST - 1));
    }

    /** Guards against forgetting the first start because a duplicate of it is answered. */
    @Test
    public void keepsFirstStartWhenDuplicateIsAnswered() {
      LateLeases leases = started();
      leases.startAnswered(RUN, false);
      leases.startSent(RUN, SENT + 1);
      leases.startAnswered(RUN, true);
      assertTrue(leases.mayHaveReached(LAST - 1));
    }

    /**
     * Guards against waiting for a lease that was accepted by the incarnation for which it was
     * meant.
     */
    @Test
    public void areResolvedByTheirAnswer() {
      LateLeases leases = started();
      leases.startAnswered(RUN, true);
      assertFalse(leases.mayHaveReached(SENT));
    }
  }
}
