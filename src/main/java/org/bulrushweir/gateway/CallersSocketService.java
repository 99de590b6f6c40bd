package org.bulrushweir.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import org.bulrushweir.kernel.KernelService;
import org.bulrushweir.settings.SocketAddressSettings;

/**
 * Opens the socket for callers before anything else is built: connections wait in its queue instead
 * of being refused while a restarted process gets ready.
 */
public final class CallersSocketService implements KernelService {

  /** How many connections may wait to be accepted. */
  private static final int ACCEPT_BACKLOG = 1_024;

  private final ServerSocketChannel channel;

  /**
   * Opens the socket.
   *
   * @param address where callers connect
   */
  public CallersSocketService(final SocketAddressSettings address) {
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

  @Override
  public void start() {
    // The gateway begins to accept.
  }

  @Override
  public void stop() {
    // The gateway has closed the socket.
  }
}
