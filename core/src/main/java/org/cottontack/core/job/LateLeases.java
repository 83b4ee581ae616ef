package org.cottontack.core.job;

import java.util.HashMap;
import java.util.Map;

/**
 * Orders to a worker that bring a lease and got no answer, over all its lives. One of them may
 * reach a later life, on which everything then runs on for up to the longest lease. The load: a
 * worker crashes while it is being asked or started on, and is back at once.
 */
final class LateLeases {

  /** When each start without a certain answer was sent last. */
  private final Map<RunKey, Long> startsMillis = new HashMap<>();

  private boolean offeredLease;
  private long pollSentMillis;
  private long lateUntilMillis = Long.MIN_VALUE;

  /** Takes in that a look leaves. */
  void pollSent(boolean offersLease, long nowMillis) {
    offeredLease = offersLease;
    pollSentMillis = nowMillis;
  }

  /** Takes in that the life which the last look was for has answered it. */
  void answered() {
    offeredLease = false;
  }

  /** Takes in that the last look got no answer, or one of another life. */
  void unanswered() {
    if (offeredLease) {
      recordUnanswered(pollSentMillis);
    }
    offeredLease = false;
  }

  /** Takes in that a start leaves. */
  void startSent(RunKey run, long nowMillis) {
    startsMillis.values().removeIf(sent -> nowMillis - sent > LateStart.LATEST_MILLIS);
    startsMillis.put(run, nowMillis);
  }

  /** Takes in the answer to a start, or that none came. */
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
   * Returns whether one may have reached a life before its leader asked it.
   *
   * @param earliestStartMillis when that life began at the earliest, on our steady clock
   */
  boolean mayHaveReached(long earliestStartMillis) {
    startsMillis.values().forEach(this::recordUnanswered);
    startsMillis.clear();
    return lateUntilMillis > earliestStartMillis;
  }
}
