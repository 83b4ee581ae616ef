package org.cottontack.daemon.job;

import static org.testng.Assert.assertEquals;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import org.testng.annotations.Test;

/** Tests of {@link BusyTime} in virtual time. */
public class BusyTimeTest {

  private static final IoHandlerContext LOOP =
      new IoHandlerContext() {
        @Override
        public boolean canBlock() {
          return true;
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
          return 0;
        }

        @Override
        public long deadlineNanos() {
          return -1;
        }
      };

  private long now = 1_000;

  /** A handler that waits for 70 ns and spends 30 ns on connections. */
  private final class WaitingHandler implements IoHandler {

    @Override
    public int run(IoHandlerContext context) {
      now += 100;
      if (context.shouldReportActiveIoTime()) {
        context.reportActiveIoTime(30);
      }
      return 1;
    }

    @Override
    public IoRegistration register(IoHandle handle) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void wakeup() {}

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
      return true;
    }
  }

  /** Guards against an event loop that is busy without a sign of it, or always seems to be. */
  @Test
  public void countsConnectionsAndTasksButNoWaiting() {
    BusyTime busy = new BusyTime(loop -> new WaitingHandler(), () -> now);
    IoHandler handler = busy.newHandler(null);
    handler.run(LOOP);
    assertEquals(busy.nanos(), 30);
    now += 5;
    handler.run(LOOP);
    assertEquals(busy.nanos(), 30 + 5 + 30);
  }
}
