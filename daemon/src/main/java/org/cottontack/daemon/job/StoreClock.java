package org.cottontack.daemon.job;

import java.util.OptionalLong;
import org.cottontack.core.Moment;

/**
 * The store's steady clock as far as answers tell it: an answer gives the clock's time at some
 * moment between question and answer. All instances can compare times on it.
 */
final class StoreClock {

  private long toldMillis;
  private Moment asked;
  private long leastAheadMillis;

  /**
   * Takes in an answer.
   *
   * @param asked when the question was sent
   * @param received when the answer came
   * @param storeMillis what it says, in milliseconds; 0 when it says nothing
   */
  void told(Moment asked, Moment received, long storeMillis) {
    if (storeMillis == 0) {
      return;
    }
    leastAheadMillis = storeMillis - received.mono();
    toldMillis = storeMillis;
    this.asked = asked;
  }

  /** Returns the latest time that the store's clock may show now; nothing before an answer. */
  OptionalLong latest(Moment now) {
    return asked == null
        ? OptionalLong.empty()
        : OptionalLong.of(toldMillis + now.longestSince(asked));
  }

  /**
   * Returns the time on our steady clock by which the store's clock certainly shows a time; nothing
   * before an answer. While an instance is suspended its own clock stands still, which only makes
   * the result later than need be.
   */
  OptionalLong reached(long storeMillis) {
    return asked == null ? OptionalLong.empty() : OptionalLong.of(storeMillis - leastAheadMillis);
  }
}
