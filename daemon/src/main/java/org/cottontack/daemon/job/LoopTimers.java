package org.cottontack.daemon.job;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.cottontack.core.Moment;
import org.cottontack.daemon.Engine;

/** Timers that run on a Netty event loop. */
public final class LoopTimers implements Timers {

  private final EventLoop loop;

  /** Creates timers that run on the given event loop. */
  public LoopTimers(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public Moment now() {
    return Engine.now();
  }

  @Override
  public void after(long millis, Runnable task) {
    loop.schedule(task, millis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void soon(Runnable task) {
    loop.execute(task);
  }
}
