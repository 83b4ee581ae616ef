package org.cottontack.daemon.timeline;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * A hybrid logical clock (Kulkarni and others, 2014): close to wall time, and an event that was
 * caused by a message always has a later stamp than its sending.
 */
public final class HybridClock {

  private static final int LOGICAL_BITS = 16;

  private final LongSupplier wallMillis;
  private final AtomicLong last = new AtomicLong();

  /** Creates a clock over a wall clock in milliseconds since 1970. */
  public HybridClock(LongSupplier wallMillis) {
    this.wallMillis = wallMillis;
  }

  /** Returns a stamp later than all before. */
  public long next() {
    long wall = wallMillis.getAsLong() << LOGICAL_BITS;
    return last.updateAndGet(previous -> Math.max(previous + 1, wall));
  }

  /** Takes note of another process's stamp, so that later stamps here are later than it. */
  public void witness(long stamp) {
    last.accumulateAndGet(stamp, Math::max);
  }

  /** Returns the wall part of a stamp in milliseconds since 1970. */
  public static long wallOf(long stamp) {
    return stamp >>> LOGICAL_BITS;
  }
}
