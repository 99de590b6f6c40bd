package org.bulrushweir.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.bulrushweir.api.Clock;
import org.bulrushweir.kernel.KernelService;
import org.bulrushweir.relay.PollMonitor;

/** Owns the single thread on which a gateway processes requests and updates its state. */
public final class EventLoopService implements KernelService {

  /** The time limit for pending tasks on shutdown, in milliseconds. */
  private static final long STOP_TIMEOUT_MS = 200;

  private final PollMonitor polls;
  private final EventLoopGroup group;

  /**
   * Creates the event loop.
   *
   * @param clock the process's clock
   * @param delays receives how long arrivals may have waited at each poll of the sockets, in
   *     milliseconds
   */
  public EventLoopService(final Clock clock, final LongConsumer delays) {
    polls = new PollMonitor(clock.nowMs());
    group = new MultiThreadIoEventLoopGroup(1, MonitoredIoHandler.factory(polls, clock, delays));
  }

  /**
   * Returns the monitor of the polls of the sockets.
   *
   * @return the monitor, which must be used on the event loop only
   */
  PollMonitor polls() {
    return polls;
  }

  /**
   * Returns the group that sockets are registered with.
   *
   * @return the group, which has one thread
   */
  public EventLoopGroup group() {
    return group;
  }

  /**
   * Returns the event loop.
   *
   * @return the only event loop of the group
   */
  public EventLoop loop() {
    return group.next();
  }

  @Override
  public void start() {
    // The thread starts with its first task.
  }

  @Override
  public void stop() {
    group.shutdownGracefully(0, STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }
}
