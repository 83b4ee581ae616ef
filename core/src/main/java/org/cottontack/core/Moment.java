package org.cottontack.core;

/**
 * The time at which an event is reduced.
 *
 * @param mono milliseconds of a clock that never goes back; the only clock leases use
 * @param wall milliseconds since 1970, used for deadlines of batch work only
 */
public record Moment(long mono, long wall) {

  /**
   * Returns the longest time, in milliseconds, that may have passed since an earlier moment. The
   * steady clock stands still while an instance is suspended, and the time of day goes on; one that
   * was set forward makes the result too long, which is safe for whatever ends by itself.
   */
  public long longestSince(Moment earlier) {
    return Math.max(mono - earlier.mono(), wall - earlier.wall());
  }
}
