package org.cottontack.daemon.job;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.cottontack.core.Moment;
import org.cottontack.daemon.Engine;

/** Timers that run on a Netty event loop. */
public final class LoopTimers implements Timers {

  private final EventLoop loop;
  private final Map<String, LongSupplier> spentNanos;

  /** Creates timers that run on the given event loop. */
  public LoopTimers(EventLoop loop) {
    this(loop, Map.of());
  }

  /**
   * Creates timers that run on the given event loop.
   *
   * @param spentNanos the times that {@link #spentNanos()} returns, by name
   */
  LoopTimers(EventLoop loop, Map<String, LongSupplier> spentNanos) {
    this.loop = loop;
    this.spentNanos = Map.copyOf(spentNanos);
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

  @Override
  public Map<String, Long> spentNanos() {
    return spentNanos.entrySet().stream()
        .collect(Collectors.toMap(Map.Entry::getKey, spent -> spent.getValue().getAsLong()));
  }
}
