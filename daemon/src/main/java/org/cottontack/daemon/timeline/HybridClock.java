package org.cottontack.daemon.timeline;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * A hybrid logical clock (Kulkarni and others, 2014). Its timestamps are close to wall-clock time,
 * and an event that was caused by a message always has a later timestamp than the sending of the
 * message.
 */
public final class HybridClock {

  private static final int LOGICAL_BITS = 16;

  private final LongSupplier wallMillis;
  private final AtomicLong last = new AtomicLong();

  /** Creates a clock based on a wall clock in milliseconds since 1970. */
  public HybridClock(LongSupplier wallMillis) {
    this.wallMillis = wallMillis;
  }

  /** Returns a timestamp that is later than all previous ones. */
  public long next() {
    long wall = wallMillis.getAsLong() << LOGICAL_BITS;
    return last.updateAndGet(previous -> Math.max(previous + 1, wall));
  }

  /** Records a timestamp of another process; all further timestamps of this clock are later. */
  public void witness(long stamp) {
    last.accumulateAndGet(stamp, Math::max);
  }

  /** Returns the wall-clock part of a timestamp in milliseconds since 1970. */
  public static long wallOf(long stamp) {
    return stamp >>> LOGICAL_BITS;
  }
}
