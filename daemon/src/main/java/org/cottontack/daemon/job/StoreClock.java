package org.cottontack.daemon.job;

import java.util.OptionalLong;
import org.cottontack.core.Moment;

/**
 * The store's steady clock as far as answers tell it: an answer gives the clock's time at some
 * moment between question and answer. All instances can compare times on it.
 */
final class StoreClock {

  private long lastStoreMillis;
  private Moment lastRequestSent;
  private long minOffsetMillis;

  /**
   * Takes in an answer.
   *
   * @param requestSent when the question was sent
   * @param received when the answer came
   * @param storeMillis what it says, in milliseconds; 0 when it says nothing
   */
  void update(Moment requestSent, Moment received, long storeMillis) {
    if (storeMillis == 0) {
      return;
    }
    minOffsetMillis = storeMillis - received.mono();
    lastStoreMillis = storeMillis;
    this.lastRequestSent = requestSent;
  }

  /** Returns the latest time that the store's clock may show now; nothing before an answer. */
  OptionalLong latest(Moment now) {
    return lastRequestSent == null
        ? OptionalLong.empty()
        : OptionalLong.of(lastStoreMillis + now.longestSince(lastRequestSent));
  }

  /**
   * Returns the time on our steady clock by which the store's clock certainly shows a time; nothing
   * before an answer. While an instance is suspended its own clock stands still, which only makes
   * the result later than need be.
   */
  OptionalLong reached(long storeMillis) {
    return lastRequestSent == null
        ? OptionalLong.empty()
        : OptionalLong.of(storeMillis - minOffsetMillis);
  }
}
