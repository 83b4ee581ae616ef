package org.cottontack.daemon.job;

import java.util.Map;
import java.util.function.Supplier;
import org.cottontack.core.Moment;

/**
 * Decides from the age of the last updates whether work may start, and until when. It guards
 * against a leader that lacks processor time, is suspended or is cut off from a table for seconds,
 * and then handles responses that describe an earlier state. Confined to the event loop.
 */
final class StartGate {

  private final Timers timers;
  private final Map<FreshnessLimit, Supplier<Moment>> requestTimes;

  /**
   * Creates a gate.
   *
   * @param requestTimes when the last answered request for each kind of update was sent
   */
  StartGate(Timers timers, Map<FreshnessLimit, Supplier<Moment>> requestTimes) {
    this.timers = timers;
    this.requestTimes = Map.copyOf(requestTimes);
  }

  /** Returns the age of the last update of a kind, in milliseconds. */
  long ageMillis(FreshnessLimit limit) {
    return timers.now().longestSince(requestTimes.get(limit).get());
  }

  /** Returns whether a start order may be sent now. */
  boolean open() {
    return requestTimes.keySet().stream().allMatch(limit -> limit.allows(ageMillis(limit)));
  }

  /**
   * Returns the time on our monotonic clock, in milliseconds, until which work may begin according
   * to the last updates.
   */
  long startDeadlineMillis() {
    long remaining =
        requestTimes.keySet().stream()
            .mapToLong(limit -> limit.remainingMillis(ageMillis(limit)))
            .min()
            .orElseThrow();
    return timers.now().mono() + remaining;
  }
}
