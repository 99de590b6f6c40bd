package org.bulrushweir.gateway;

import io.netty.channel.IoEvent;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandle;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.nio.channels.SelectableChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.bulrushweir.api.Clock;
import org.bulrushweir.relay.PollMonitor;

/** Polls the sockets of an event loop and tells a {@link PollMonitor} about each poll. */
final class MonitoredIoHandler implements IoHandler {

  private final IoHandler delegate;
  private final ThreadAwareExecutor loop;
  private final PollMonitor monitor;
  private final Clock clock;
  private final LongConsumer delays;

  private MonitoredIoHandler(
      final ThreadAwareExecutor loop,
      final PollMonitor monitor,
      final Clock clock,
      final LongConsumer delays) {
    this.delegate = NioIoHandler.newFactory().newHandler(loop);
    this.loop = loop;
    this.monitor = monitor;
    this.clock = clock;
    this.delays = delays;
  }

  /**
   * Creates the factory of the handler of a single event loop.
   *
   * @param monitor the monitor of the loop's polls
   * @param clock the process's clock
   * @param delays receives how long arrivals may have waited at each poll, in milliseconds
   * @return the factory
   */
  static IoHandlerFactory factory(
      final PollMonitor monitor, final Clock clock, final LongConsumer delays) {
    return loop -> new MonitoredIoHandler(loop, monitor, clock, delays);
  }

  @Override
  public int run(final IoHandlerContext context) {
    final boolean waits = context.canBlock() && !monitor.hasPostponed();
    final long maxWaitMs =
        waits ? TimeUnit.NANOSECONDS.toMillis(context.delayNanos(System.nanoTime())) : 0;
    monitor.pollStarted(clock.nowMs(), maxWaitMs);
    final int handled = delegate.run(waits ? context : new PollWithoutWait(context));
    final long endMs = clock.nowMs();
    delays.accept(endMs - monitor.unreadSinceMs(endMs));
    final List<Runnable> due = monitor.pollEnded(endMs);
    due.forEach(loop::execute);
    return handled;
  }

  @Override
  public IoRegistration register(final IoHandle handle) throws Exception {
    return delegate.register(new MonitoredHandle((NioIoHandle) handle));
  }

  @Override
  public void initialize() {
    delegate.initialize();
  }

  @Override
  public void prepareToDestroy() {
    delegate.prepareToDestroy();
  }

  @Override
  public void destroy() {
    delegate.destroy();
  }

  @Override
  public void wakeup() {
    delegate.wakeup();
  }

  @Override
  public boolean isCompatible(final Class<? extends IoHandle> type) {
    return delegate.isCompatible(type);
  }

  /** Tells the monitor of what arrives at one socket. */
  private final class MonitoredHandle implements NioIoHandle {

    private final NioIoHandle socket;

    MonitoredHandle(final NioIoHandle socket) {
      this.socket = socket;
    }

    @Override
    public SelectableChannel selectableChannel() {
      return socket.selectableChannel();
    }

    @Override
    public void handle(final IoRegistration registration, final IoEvent event) {
      monitor.arrivalHandled(clock.nowMs());
      socket.handle(registration, event);
    }

    @Override
    public void registered() {
      socket.registered();
    }

    @Override
    public void unregistered() {
      socket.unregistered();
    }

    @Override
    public void close() throws Exception {
      socket.close();
    }
  }

  /**
   * Lets a poll handle what has arrived without waiting for more.
   *
   * @param loop the loop's own context
   */
  private record PollWithoutWait(IoHandlerContext loop) implements IoHandlerContext {

    @Override
    public boolean canBlock() {
      return false;
    }

    @Override
    public long delayNanos(final long currentTimeNanos) {
      return 0;
    }

    @Override
    public long deadlineNanos() {
      return loop.deadlineNanos();
    }

    @Override
    public void reportActiveIoTime(final long activeNanos) {
      loop.reportActiveIoTime(activeNanos);
    }

    @Override
    public boolean shouldReportActiveIoTime() {
      return loop.shouldReportActiveIoTime();
    }
  }
}
