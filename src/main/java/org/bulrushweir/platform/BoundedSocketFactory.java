package org.bulrushweir.platform;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import javax.net.SocketFactory;

/**
 * Creates sockets that fail once they have received a number of bytes. The HTTP client limits
 * neither the line of a chunk's length nor what it discards when a call ends.
 */
final class BoundedSocketFactory extends SocketFactory {

  private final long maxBytes;

  /**
   * Creates a factory.
   *
   * @param maxBytes the largest number of bytes that a socket receives
   */
  BoundedSocketFactory(final long maxBytes) {
    this.maxBytes = maxBytes;
  }

  @Override
  public Socket createSocket() {
    return new BoundedSocket(maxBytes);
  }

  @Override
  public Socket createSocket(final String host, final int port) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Socket createSocket(
      final String host, final int port, final InetAddress localHost, final int localPort) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Socket createSocket(final InetAddress host, final int port) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Socket createSocket(
      final InetAddress address,
      final int port,
      final InetAddress localAddress,
      final int localPort) {
    throw new UnsupportedOperationException();
  }

  /** Bounds its input. */
  private static final class BoundedSocket extends Socket {

    private final long maxBytes;

    private BoundedSocket(final long maxBytes) {
      this.maxBytes = maxBytes;
    }

    @Override
    public InputStream getInputStream() throws IOException {
      return new BoundedInput(super.getInputStream(), maxBytes);
    }
  }

  /** Fails beyond a number of bytes; an end of the input would make a cut-off body look whole. */
  private static final class BoundedInput extends FilterInputStream {

    private long bytesLeft;

    private BoundedInput(final InputStream input, final long maxBytes) {
      super(input);
      this.bytesLeft = maxBytes;
    }

    @Override
    public int read() throws IOException {
      final int value = super.read();
      count(value < 0 ? 0 : 1);
      return value;
    }

    @Override
    public int read(final byte[] target, final int offset, final int length) throws IOException {
      final int count = super.read(target, offset, length);
      count(count);
      return count;
    }

    private void count(final int bytes) throws IOException {
      bytesLeft -= Math.max(0, bytes);
      if (bytesLeft < 0) {
        throw new IOException("the other side sent too many bytes");
      }
    }
  }
}
