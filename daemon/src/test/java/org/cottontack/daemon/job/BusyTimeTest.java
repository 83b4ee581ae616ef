package org.cottontack.daemon.job;

import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests of {@link BusyTime} with a real event loop. */
public class BusyTimeTest {

  private static final long TASK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private static void work() {
    long began = System.nanoTime();
    while (System.nanoTime() - began < TASK_NANOS) {
      Thread.onSpinWait();
    }
  }

  /** Guards against an event loop that is busy without a sign of it, or always seems to be. */
  @Test
  public void countsTasksButNoWaiting() throws Exception {
    BusyTime busy = new BusyTime(NioIoHandler.newFactory());
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, busy);
    try {
      group.next().submit(() -> {}).sync();
      final long began = System.nanoTime();
      group.next().schedule(BusyTimeTest::work, 500, TimeUnit.MILLISECONDS).sync();
      group.next().schedule(() -> {}, 1, TimeUnit.MILLISECONDS).sync();
      long waited = TimeUnit.MILLISECONDS.toNanos(500);
      assertTrue(busy.nanos() >= TASK_NANOS, "busy " + busy.nanos());
      assertTrue(busy.nanos() <= System.nanoTime() - began - waited + TASK_NANOS);
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }
}
