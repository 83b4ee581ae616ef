package org.cottontack.core;

/**
 * The time at which an event is reduced.
 *
 * @param mono milliseconds of a monotonic clock, the only clock that leases use
 * @param wall milliseconds since 1970, used only for deadlines of batch work
 */
public record Moment(long mono, long wall) {

  /**
   * Returns the longest time, in milliseconds, that may have passed since an earlier moment. While
   * an instance is suspended, the monotonic clock stops and the wall clock goes on. A wall clock
   * that was set forward makes the result too long, which is safe for everything that expires by
   * itself.
   */
  public long longestSince(Moment earlier) {
    return Math.max(mono - earlier.mono(), wall - earlier.wall());
  }
}
