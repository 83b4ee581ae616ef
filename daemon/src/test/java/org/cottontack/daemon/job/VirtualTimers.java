package org.cottontack.daemon.job;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.cottontack.core.Moment;

/** Virtual time, which a test advances. */
final class VirtualTimers {

  private record Due(long at, long number, View view, Runnable task) {}

  private final PriorityQueue<Due> due =
      new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::number));
  private long now = 1_000;
  private long taskCount;

  /** Timers of one process; they never fire again after the process is killed. */
  final class View implements Timers {

    boolean killed;

    /** Delay of timers and responses because the process is busy, in milliseconds. */
    long lateMillis;

    /**
     * Offset of the wall clock, in milliseconds: positive if it was set forward, negative if back.
     */
    long clockOffsetMillis;

    private long resumesMillis;
    private long clockStoppedMillis;

    /** Suspends the process for a time; its monotonic clock may stop meanwhile. */
    void pause(long millis, boolean clockToo) {
      resumesMillis = now + millis;
      clockStoppedMillis += clockToo ? millis : 0;
    }

    @Override
    public Moment now() {
      return new Moment(now - clockStoppedMillis, now + clockOffsetMillis);
    }

    @Override
    public long nanoTime() {
      return TimeUnit.MILLISECONDS.toNanos(now);
    }

    @Override
    public void after(long millis, Runnable task) {
      taskCount++;
      due.add(new Due(now + millis + lateMillis, taskCount, this, task));
    }
  }

  /** Returns the current virtual time, in milliseconds. */
  long now() {
    return now;
  }

  View process() {
    return new View();
  }

  void run(long millis) {
    long end = now + millis;
    while (!due.isEmpty() && due.peek().at() <= end) {
      Due next = due.poll();
      now = Math.max(now, next.at());
      if (now < next.view().resumesMillis) {
        due.add(new Due(next.view().resumesMillis, next.number(), next.view(), next.task()));
      } else if (!next.view().killed) {
        next.task().run();
      }
    }
    now = end;
  }
}
