package org.cottontack.daemon.job;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.cottontack.core.Moment;
import org.cottontack.daemon.Engine;

/** The event loop's clock and timers. */
public final class Timers {

  private final EventLoop loop;

  /** Uses the timers of an event loop. */
  public Timers(EventLoop loop) {
    this.loop = loop;
  }

  /** Returns the time now. */
  public Moment now() {
    return Engine.now();
  }

  /** Runs something later, once. */
  public void after(long millis, Runnable task) {
    loop.schedule(task, millis, TimeUnit.MILLISECONDS);
  }

  /** Runs something soon, on the event loop. */
  public void soon(Runnable task) {
    loop.execute(task);
  }
}
