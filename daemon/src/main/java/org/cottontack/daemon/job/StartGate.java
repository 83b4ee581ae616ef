package org.cottontack.daemon.job;

import java.util.Map;
import java.util.function.Supplier;
import org.cottontack.core.Moment;

/**
 * Decides by the age of news whether work may start, and until when. The load: a leader is starved,
 * paused or cut off from a table for seconds, and handles answers that say what was true before.
 * Confined to the event loop.
 */
final class StartGate {

  private final Timers timers;
  private final Map<FreshnessLimit, Supplier<Moment>> requestTimes;

  /**
   * Creates a gate.
   *
   * @param requestTimes when the question was sent that brought the last news of each kind
   */
  StartGate(Timers timers, Map<FreshnessLimit, Supplier<Moment>> requestTimes) {
    this.timers = timers;
    this.requestTimes = Map.copyOf(requestTimes);
  }

  /** Returns how old the last news of a kind is, in milliseconds. */
  long ageMillis(FreshnessLimit limit) {
    return timers.now().longestSince(requestTimes.get(limit).get());
  }

  /** Returns whether an order to start may leave now. */
  boolean open() {
    return requestTimes.keySet().stream().allMatch(limit -> limit.allows(ageMillis(limit)));
  }

  /** Returns until when work may begin by the news that there is, on our steady clock. */
  long startDeadlineMillis() {
    long remaining =
        requestTimes.keySet().stream()
            .mapToLong(limit -> limit.remainingMillis(ageMillis(limit)))
            .min()
            .orElseThrow();
    return timers.now().mono() + remaining;
  }
}
