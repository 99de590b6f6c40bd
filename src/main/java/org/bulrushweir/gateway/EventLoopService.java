package org.bulrushweir.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.kernel.KernelService;

/** Owns the single thread on which a gateway processes requests and updates its state. */
public final class EventLoopService implements KernelService {

  /** The time limit for pending tasks on shutdown, in milliseconds. */
  private static final long STOP_TIMEOUT_MS = 200;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

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
