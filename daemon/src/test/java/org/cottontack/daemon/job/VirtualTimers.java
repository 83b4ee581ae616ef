package org.cottontack.daemon.job;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.cottontack.core.Moment;

/** Time that passes only when a test says so. */
final class VirtualTimers {

  private record Due(long at, long order, View view, Runnable task) {}

  private final PriorityQueue<Due> due =
      new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
  private long now = 1_000;
  private long orders;

  /** One process's timers: they stop for good when the process is killed. */
  final class View implements Timers {

    boolean killed;

    /** How late timers and answers come since the process is busy, in milliseconds. */
    long lateMillis;

    /** How far the time of day is set forward, in milliseconds; back if negative. */
    long clockOffsetMillis;

    private long resumesMillis;
    private long clockStoppedMillis;

    /** Stops the process for so long; its steady clock may stand still meanwhile. */
    void pause(long millis, boolean clockToo) {
      resumesMillis = now + millis;
      clockStoppedMillis += clockToo ? millis : 0;
    }

    @Override
    public Moment now() {
      return new Moment(now - clockStoppedMillis, now + clockOffsetMillis);
    }

    @Override
    public void after(long millis, Runnable task) {
      orders++;
      due.add(new Due(now + millis + lateMillis, orders, this, task));
    }
  }

  /** Returns the time, in milliseconds. */
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
        due.add(new Due(next.view().resumesMillis, next.order(), next.view(), next.task()));
      } else if (!next.view().killed) {
        next.task().run();
      }
    }
    now = end;
  }
}
