import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** An answer as a client has read it; {@code complete} is false if it broke off. */
record Answer(int status, List<String> headers, String body, boolean complete) {

  String header(final String name) {
    return Server.find(headers, name);
  }

  /** Reads an answer; one without a head has the status 0. */
  static Answer read(final InputStream in) {
    final ByteArrayOutputStream body = new ByteArrayOutputStream();
    int status = 0;
    List<String> headers = List.of();
    boolean complete = false;
    try {
      final String line = Server.readLine(in);
      if (line != null) {
        headers = Server.readHeaders(in);
        status = Integer.parseInt(line.split(" ")[1]);
        complete = readBody(in, headers, body);
      }
    } catch (IOException e) {
      // Broken off or not answered in time.
    }
    return new Answer(status, headers, body.toString(StandardCharsets.UTF_8), complete);
  }

  private static boolean readBody(
      final InputStream in, final List<String> headers, final ByteArrayOutputStream body)
      throws IOException {
    final String length = Server.find(headers, "Content-Length");
    if (length != null) {
      final byte[] bytes = in.readNBytes(Integer.parseInt(length));
      body.write(bytes);
      return bytes.length == Integer.parseInt(length);
    }
    while (true) {
      final String line = Server.readLine(in);
      if (line == null) {
        return false;
      }
      final int size = Integer.parseInt(line, 16);
      final byte[] bytes = in.readNBytes(size);
      body.write(bytes);
      if (bytes.length < size || Server.readLine(in) == null) {
        return false;
      }
      if (size == 0) {
        return true;
      }
    }
  }

  /** Sends a request and reads its answer on a connection of its own. */
  static Answer call(final Gateway gateway, final String request, final int timeoutMs) {
    try (Socket socket = gateway.connect()) {
      socket.setSoTimeout(timeoutMs);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
      return read(new java.io.BufferedInputStream(socket.getInputStream()));
    } catch (IOException e) {
      return new Answer(0, List.of(), "", false);
    }
  }
}
