package org.cottontack.core.job;

import java.util.HashMap;
import java.util.Map;

/**
 * Orders to a worker that grant a lease and got no answer, over all its incarnations. One of them
 * may reach a later incarnation, on which everything then keeps running for up to the longest
 * lease. This happens when a worker crashes while a poll or a start is in flight, and starts again
 * at once.
 */
final class LateLeases {

  /** When each start without a definite answer was last sent. */
  private final Map<RunKey, Long> startsMillis = new HashMap<>();

  private boolean offeredLease;
  private long pollSentMillis;
  private long lateUntilMillis = Long.MIN_VALUE;

  /**
   * Records that a poll is sent.
   *
   * @param offersLease whether the poll grants a lease
   */
  void pollSent(boolean offersLease, long nowMillis) {
    offeredLease = offersLease;
    pollSentMillis = nowMillis;
  }

  /** Records that the incarnation to which the last poll was sent has answered it. */
  void answered() {
    offeredLease = false;
  }

  /** Records that the last poll got no answer, or one from another incarnation. */
  void unanswered() {
    if (offeredLease) {
      recordUnanswered(pollSentMillis);
    }
    offeredLease = false;
  }

  /** Records that a start is sent. */
  void startSent(RunKey run, long nowMillis) {
    startsMillis.values().removeIf(sent -> nowMillis - sent > LateStart.LATEST_MILLIS);
    startsMillis.put(run, nowMillis);
  }

  /** Records the answer to a start, or that none came. */
  void startAnswered(RunKey run, boolean certain) {
    Long sent = startsMillis.remove(run);
    if (sent != null && !certain) {
      recordUnanswered(sent);
    }
  }

  private void recordUnanswered(long sentMillis) {
    lateUntilMillis = Math.max(lateUntilMillis, sentMillis + LateStart.LATEST_MILLIS);
  }

  /**
   * Returns whether an unanswered order that grants a lease may have reached an incarnation before
   * that incarnation answered this leader.
   *
   * @param earliestStartMillis earliest time at which that incarnation started, on our steady clock
   */
  boolean mayHaveReached(long earliestStartMillis) {
    startsMillis.values().forEach(this::recordUnanswered);
    startsMillis.clear();
    return lateUntilMillis > earliestStartMillis;
  }
}
