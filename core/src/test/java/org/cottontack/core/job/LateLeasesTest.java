package org.cottontack.core.job;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests of orders without an answer that may bring a lease to a later life. */
public class LateLeasesTest {

  private static final RunKey RUN = new RunKey(TaskName.parse("job.0.0.0"), 1);
  private static final long SENT = 1_000;
  private static final long LAST = SENT + LateStart.LATEST_MILLIS;

  private static LateLeases started() {
    LateLeases leases = new LateLeases();
    leases.startSent(RUN, SENT);
    return leases;
  }

  private static LateLeases asked(boolean brings) {
    LateLeases leases = new LateLeases();
    leases.pollSent(brings, SENT);
    return leases;
  }

  /** Looks. */
  public static class Looks {

    /** Guards against a lease that nobody waits for since its look got no answer. */
    @Test
    public void mayComeLateWhereUnanswered() {
      LateLeases leases = asked(true);
      leases.unanswered();
      assertTrue(leases.mayHaveReached(LAST - 1));
      assertFalse(leases.mayHaveReached(LAST));
    }

    /** Guards against a wait for a lease that no look has brought. */
    @Test
    public void bringNoneWhereNoneIsNamed() {
      LateLeases leases = asked(false);
      leases.unanswered();
      assertFalse(leases.mayHaveReached(SENT));
    }

    /** Guards against a wait for a lease that its own life took. */
    @Test
    public void areSettledByTheirAnswer() {
      LateLeases leases = asked(true);
      leases.answered();
      leases.unanswered();
      assertFalse(leases.mayHaveReached(SENT));
    }
  }

  /** Starts. */
  public static class Starts {

    /** Guards against a start on its way at a crash whose lease nobody waits for. */
    @Test
    public void mayComeLateWhereUnanswered() {
      assertTrue(started().mayHaveReached(LAST - 1));
      assertFalse(started().mayHaveReached(LAST));
    }

    /** Guards against an answer that never came and is taken for one. */
    @Test
    public void mayComeLateWhereGivenUp() {
      LateLeases leases = started();
      leases.startAnswered(RUN, false);
      assertTrue(leases.mayHaveReached(LAST - 1));
    }

    /** Guards against a first copy that the answer to a second one hides. */
    @Test
    public void keepsFirstCopyWhereSecondIsAnswered() {
      LateLeases leases = started();
      leases.startAnswered(RUN, false);
      leases.startSent(RUN, SENT + 1);
      leases.startAnswered(RUN, true);
      assertTrue(leases.mayHaveReached(LAST - 1));
    }

    /** Guards against a wait for a lease that its own life took. */
    @Test
    public void areSettledByTheirAnswer() {
      LateLeases leases = started();
      leases.startAnswered(RUN, true);
      assertFalse(leases.mayHaveReached(SENT));
    }
  }
}
