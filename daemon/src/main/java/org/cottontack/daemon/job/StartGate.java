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
  private final Map<FreshnessLimit, Supplier<Moment>> asked;

  /**
   * Creates a gate.
   *
   * @param asked when the question was sent that brought the last news of each kind
   */
  StartGate(Timers timers, Map<FreshnessLimit, Supplier<Moment>> asked) {
    this.timers = timers;
    this.asked = Map.copyOf(asked);
  }

  /** Returns how old the last news of a kind is, in milliseconds. */
  long ageMillis(FreshnessLimit news) {
    return timers.now().longestSince(asked.get(news).get());
  }

  /** Returns whether an order to start may leave now. */
  boolean open() {
    return asked.keySet().stream().allMatch(news -> news.lets(ageMillis(news)));
  }

  /** Returns until when work may begin by the news that there is, on our steady clock. */
  long closesMillis() {
    long left =
        asked.keySet().stream()
            .mapToLong(news -> news.leftMillis(ageMillis(news)))
            .min()
            .orElseThrow();
    return timers.now().mono() + left;
  }
}
