package org.bulrushweir.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.bulrushweir.demo.DemoCall;
import org.bulrushweir.platform.EndpointSide;

/** A caller that sends its request in random parts, and may leave before it is answered. */
public final class LeavingCaller {

  /** What ends a caller's interest in its request. */
  public enum Ending {
    /** It closes its connection. */
    CLOSE,
    /** It resets its connection. */
    RESET,
    /** Its deadline passes; it keeps its connection. */
    DEADLINE,
    /** None: it waits for the response. */
    NONE
  }

  private static final int PATIENT_MS = 10_000;
  private static final int MAX_PAUSE_MS = 20;

  private final DemoCall call;
  private final Ending ending;
  private final Random random;
  private final Socket socket;
  private volatile long leftMs;

  /**
   * Opens the caller's connection.
   *
   * @param port the gateway's port for callers
   * @param call the request
   * @param ending what ends the caller's interest
   * @param random chooses the parts of the request and the pauses between them
   */
  LeavingCaller(final int port, final DemoCall call, final Ending ending, final Random random)
      throws IOException {
    this.call = call;
    this.ending = ending;
    this.random = random;
    this.socket = new Socket("127.0.0.1", port);
  }

  String id() {
    return call.requestId();
  }

  Ending ending() {
    return ending;
  }

  /** Returns when the caller left, in Unix milliseconds, zero if it has not. */
  long leftMs() {
    return leftMs;
  }

  /** Returns a request as it is sent. */
  static String text(final DemoCall call, final long deadlineMs) {
    final StringBuilder text = new StringBuilder();
    text.append(call.body().isEmpty() ? "GET " : "POST ").append(call.path());
    text.append(" HTTP/1.1\r\nHost: ").append(call.host());
    text.append("\r\nAuthorization: Bearer ").append(call.key()).append("\r\n");
    EndpointSide.callerHeaders(
        (name, value) -> text.append(name).append(": ").append(value).append("\r\n"),
        call.requestId(),
        deadlineMs,
        call.promptParts());
    text.append("Content-Length: ").append(call.body().length()).append("\r\n\r\n");
    return text.append(call.body()).toString();
  }

  /**
   * Sends the request in one to three parts and leaves.
   *
   * @param deadlineMs the deadline of a caller whose deadline passes, in milliseconds
   */
  void sendAndLeave(final long deadlineMs) throws IOException, InterruptedException {
    final long startMs = System.currentTimeMillis();
    sendInParts(text(call, ending == Ending.DEADLINE ? deadlineMs : PATIENT_MS));
    switch (ending) {
      case CLOSE -> socket.close();
      case RESET -> {
        socket.setSoLinger(true, 0);
        socket.close();
      }
      case DEADLINE -> Thread.sleep(Math.max(0, startMs + deadlineMs - now()));
      default -> {
        return;
      }
    }
    leftMs = now();
  }

  private static long now() {
    return System.currentTimeMillis();
  }

  private void sendInParts(final String text) throws IOException, InterruptedException {
    int sent = 0;
    for (int part = random.nextInt(3); part > 0; part--) {
      final int end = sent + random.nextInt(text.length() - sent);
      send(text.substring(sent, end));
      sent = end;
      Thread.sleep(random.nextInt(MAX_PAUSE_MS));
    }
    send(text.substring(sent));
  }

  /** Sends the request at once. */
  void sendWhole(final long deadlineMs) throws IOException {
    send(text(call, deadlineMs));
  }

  /** Sends text as it is. */
  void send(final String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Closes the connection. */
  void leave() throws IOException {
    socket.close();
    leftMs = now();
  }

  /** Reads the status of a response without a body, empty if none comes within the time. */
  String readStatus(final int timeoutMs) throws IOException {
    socket.setSoTimeout(timeoutMs);
    final InputStream input = socket.getInputStream();
    final StringBuilder head = new StringBuilder();
    try {
      for (int value = input.read();
          value >= 0 && head.indexOf("\r\n\r\n") < 0;
          value = input.read()) {
        head.append((char) value);
        if (head.indexOf("\r\n\r\n") >= 0) {
          break;
        }
      }
    } catch (SocketTimeoutException e) {
      return "";
    }
    return head.isEmpty() ? "" : head.toString().split(" ")[1];
  }

  void close() throws IOException {
    socket.close();
  }
}
