package org.cottontack.daemon.job;

import java.util.OptionalLong;
import org.cottontack.core.Moment;

/**
 * Estimates the store's monotonic clock from its responses: a response states the clock's time at
 * some moment between request and response. All instances can compare times on this clock.
 */
final class StoreClock {

  private long lastStoreMillis;
  private Moment lastRequestSent;
  private long minOffsetMillis;

  /**
   * Updates the bounds from a response.
   *
   * @param requestSent when the request was sent
   * @param received when the response was received
   * @param storeMillis the stated time, in milliseconds; 0 when the response states none
   */
  void update(Moment requestSent, Moment received, long storeMillis) {
    if (storeMillis == 0) {
      return;
    }
    minOffsetMillis = storeMillis - received.mono();
    lastStoreMillis = storeMillis;
    this.lastRequestSent = requestSent;
  }

  /**
   * Returns the latest time that the store's clock may show now; empty before the first response.
   */
  OptionalLong latest(Moment now) {
    return lastRequestSent == null
        ? OptionalLong.empty()
        : OptionalLong.of(lastStoreMillis + now.longestSince(lastRequestSent));
  }

  /**
   * Returns the time on our monotonic clock before which the store's clock cannot show the given
   * time; empty before the first response.
   */
  OptionalLong earliest(long storeMillis, Moment now) {
    OptionalLong latest = latest(now);
    return latest.isEmpty()
        ? latest
        : OptionalLong.of(now.mono() + storeMillis - latest.getAsLong());
  }

  /**
   * Returns the time on our monotonic clock by which the store's clock has certainly reached the
   * given time; empty before the first response. While an instance is suspended its own clock does
   * not advance, which only makes the result later than necessary.
   */
  OptionalLong reached(long storeMillis) {
    return lastRequestSent == null
        ? OptionalLong.empty()
        : OptionalLong.of(storeMillis - minOffsetMillis);
  }
}
