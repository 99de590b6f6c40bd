package org.bulrushweir.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.bulrushweir.testing.RawRequest;
import org.bulrushweir.testing.RawServer;

/**
 * A faulty endpoint that writes an answer once more, whole or in part, at a time that a script
 * names.
 */
final class StutteringEndpoint implements AutoCloseable {

  /** The time after which what was written is read before what follows, in milliseconds. */
  private static final long SEPARATE_READS_MS = 3;

  private final Map<String, StutterScript> scripts = new ConcurrentHashMap<>();
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private final StutterScript sound;
  private final RawServer server;

  /**
   * Starts an endpoint.
   *
   * @param stream whether its answers are streams unless a script says otherwise
   */
  StutteringEndpoint(final boolean stream) throws IOException {
    this.sound =
        new StutterScript(
            new EndpointAnswer("200 OK", EndpointAnswer.Framing.LENGTH, false, stream, false),
            StutterScript.Moment.NEVER,
            0,
            0);
    this.server = new RawServer(this::serve);
  }

  int port() {
    return server.port();
  }

  /** Returns how often each request ran. */
  Map<String, Integer> runs() {
    return runs;
  }

  /** Sets what happens when a request arrives; without a script it is answered as usual. */
  void prepare(final String requestId, final StutterScript script) {
    scripts.put(requestId, script);
  }

  private void serve(final Socket socket) throws IOException {
    socket.setTcpNoDelay(true);
    final InputStream input = socket.getInputStream();
    final OutputStream output = socket.getOutputStream();
    StutterScript previous = sound;
    byte[] repetition = new byte[0];
    while (!socket.isClosed()) {
      final RawRequest request = RawRequest.read(input);
      input.readNBytes(request.contentLength());
      final StutterScript script = scripts.getOrDefault(request.id(), sound);
      if (!script.answer().refusal()) {
        runs.merge(request.id(), 1, Integer::sum);
      }
      final byte[] answer = script.answer().bytes(request.id());
      final byte[] ownRepetition = script.repetition(answer);
      final byte[] written =
          script.moment() == StutterScript.Moment.WITH_ANSWER
              ? join(answer, ownRepetition)
              : answer;
      switch (previous.moment()) {
        case BEFORE_NEXT -> write(output, repetition, written);
        case JOINED_WITH_NEXT -> write(output, join(repetition, written));
        case INSIDE_NEXT -> {
          final int splitAt = script.splitAt(answer.length);
          write(
              output,
              Arrays.copyOf(written, splitAt),
              repetition,
              Arrays.copyOfRange(written, splitAt, written.length));
        }
        default -> write(output, written);
      }
      if (script.moment() == StutterScript.Moment.IDLE) {
        write(output, new byte[0], ownRepetition);
      }
      if (script.answer().framing() == EndpointAnswer.Framing.CONNECTION) {
        return;
      }
      previous = script;
      repetition = ownRepetition;
    }
  }

  private static byte[] join(final byte[] first, final byte[] second) {
    final byte[] joined = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, joined, first.length, second.length);
    return joined;
  }

  private static void write(final OutputStream output, final byte[]... parts) throws IOException {
    for (int index = 0; index < parts.length; index++) {
      if (index > 0) {
        pause();
      }
      output.write(parts[index]);
      output.flush();
    }
  }

  private static void pause() throws IOException {
    try {
      Thread.sleep(SEPARATE_READS_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
