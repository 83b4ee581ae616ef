package org.cottontack.daemon.job;

import com.sun.management.OperatingSystemMXBean;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.SingleThreadEventExecutor;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cottontack.core.Moment;
import org.cottontack.daemon.Engine;

/** Timers that run on a Netty event loop. */
public final class LoopTimers implements Timers {

  /** Name under which the processor time of the whole process is reported. */
  private static final String PROCESS = "process";

  private final EventLoop loop;
  private final Map<String, EventLoop> measured;

  /** Creates timers that run on the given event loop. */
  public LoopTimers(EventLoop loop) {
    this(loop, Map.of());
  }

  /**
   * Creates timers that run on the given event loop.
   *
   * @param measured the event loops whose processor time is reported, by name
   */
  LoopTimers(EventLoop loop, Map<String, EventLoop> measured) {
    this.loop = loop;
    this.measured = measured;
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
  public Map<String, Long> processorNanos() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    if (!threads.isThreadCpuTimeSupported()) {
      return Map.of();
    }
    Map<String, Long> nanos = new LinkedHashMap<>();
    measured.forEach((name, other) -> nanos.put(name, threads.getThreadCpuTime(threadId(other))));
    if (ManagementFactory.getOperatingSystemMXBean() instanceof OperatingSystemMXBean process) {
      nanos.put(PROCESS, process.getProcessCpuTime());
    }
    return nanos;
  }

  private static long threadId(EventLoop loop) {
    return ((SingleThreadEventExecutor) loop).threadProperties().id();
  }
}
