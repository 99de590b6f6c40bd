package org.bulrushweir.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import org.bulrushweir.api.Clock;
import org.bulrushweir.kernel.KernelService;
import org.bulrushweir.settings.SocketAddressSettings;

/**
 * Opens the callers' listening socket before any other service is built. While a restarted process
 * gets ready, connections wait in the accept queue instead of being refused.
 */
public final class CallersSocketService implements KernelService {

  /** The number of connections that may wait to be accepted. */
  static final int ACCEPT_BACKLOG = 1_024;

  private final ServerSocketChannel channel;
  private final long boundMs;

  /**
   * Opens the socket.
   *
   * @param address the address that callers connect to
   * @param clock the process's clock
   */
  public CallersSocketService(final SocketAddressSettings address, final Clock clock) {
    boundMs = clock.nowMs();
    try {
      channel = ServerSocketChannel.open();
      channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      channel.bind(new InetSocketAddress(address.host(), address.port()), ACCEPT_BACKLOG);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Returns the socket.
   *
   * @return the bound socket
   */
  ServerSocketChannel channel() {
    return channel;
  }

  /**
   * Returns the time since which connections may wait to be accepted.
   *
   * @return the time in Unix milliseconds
   */
  long boundMs() {
    return boundMs;
  }

  @Override
  public void start() {
    // The gateway starts to accept connections.
  }

  @Override
  public void stop() {
    // The gateway has closed the socket.
  }
}
