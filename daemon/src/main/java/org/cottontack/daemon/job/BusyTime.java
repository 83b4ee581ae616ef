package org.cottontack.daemon.job;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;

/**
 * Measures for how long an event loop is busy, with its connections or with tasks, rather than
 * waiting for either. The factory is for one event loop.
 */
final class BusyTime implements IoHandlerFactory {

  private final IoHandlerFactory factory;
  private final LongSupplier clock;
  private final LongAdder nanos = new LongAdder();

  /** Creates a factory of handlers that another factory makes. */
  BusyTime(IoHandlerFactory factory) {
    this(factory, System::nanoTime);
  }

  /**
   * Creates a factory of handlers that another factory makes.
   *
   * @param clock a monotonic clock, in nanoseconds
   */
  BusyTime(IoHandlerFactory factory, LongSupplier clock) {
    this.factory = factory;
    this.clock = clock;
  }

  /** Returns for how long the event loop has been busy, in nanoseconds. */
  long nanos() {
    return nanos.sum();
  }

  @Override
  public IoHandler newHandler(ThreadAwareExecutor loop) {
    return new MeasuredHandler(factory.newHandler(loop));
  }

  @Override
  public boolean isChangingThreadSupported() {
    return factory.isChangingThreadSupported();
  }

  /** Adds the time between two runs, in which the event loop runs tasks. */
  private final class MeasuredHandler implements IoHandler {

    private final IoHandler handler;
    private final MeasuringContext context = new MeasuringContext();
    private long lastRunEndNanos;
    private boolean hasRun;

    MeasuredHandler(IoHandler handler) {
      this.handler = handler;
    }

    @Override
    public int run(IoHandlerContext loopContext) {
      if (hasRun) {
        nanos.add(clock.getAsLong() - lastRunEndNanos);
      }
      hasRun = true;
      context.delegate = loopContext;
      int handled = handler.run(context);
      lastRunEndNanos = clock.getAsLong();
      return handled;
    }

    @Override
    public void initialize() {
      handler.initialize();
    }

    @Override
    public void prepareToDestroy() {
      handler.prepareToDestroy();
    }

    @Override
    public void destroy() {
      handler.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
      return handler.register(handle);
    }

    @Override
    public void wakeup() {
      handler.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
      return handler.isCompatible(type);
    }
  }

  /** Adds the time that a run spends on connections; the rest of a run is spent waiting. */
  private final class MeasuringContext implements IoHandlerContext {

    private IoHandlerContext delegate;

    @Override
    public boolean canBlock() {
      return delegate.canBlock();
    }

    @Override
    public long delayNanos(long currentTimeNanos) {
      return delegate.delayNanos(currentTimeNanos);
    }

    @Override
    public long deadlineNanos() {
      return delegate.deadlineNanos();
    }

    @Override
    public boolean shouldReportActiveIoTime() {
      return true;
    }

    @Override
    public void reportActiveIoTime(long activeNanos) {
      nanos.add(activeNanos);
      if (delegate.shouldReportActiveIoTime()) {
        delegate.reportActiveIoTime(activeNanos);
      }
    }
  }
}
