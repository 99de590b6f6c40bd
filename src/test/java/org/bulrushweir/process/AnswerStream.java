package org.bulrushweir.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Follows a streamed answer in the background. */
final class AnswerStream {

  private static final long TIMEOUT_S = 60;
  private static final String DATA = "data: ";
  private static final String ID = "id: ";

  private final ObjectMapper mapper = new ObjectMapper();
  private final StringBuilder text = new StringBuilder();
  private final CountDownLatch ended = new CountDownLatch(1);
  private int tokens;
  private boolean whole;
  private int status;
  private String lastEventId;
  private String problem = "";

  AnswerStream(final HttpClient http, final HttpRequest request) {
    Thread.ofVirtual().start(() -> follow(http, request));
  }

  private void follow(final HttpClient http, final HttpRequest request) {
    try {
      final HttpResponse<Stream<String>> response =
          http.send(request, HttpResponse.BodyHandlers.ofLines());
      synchronized (this) {
        status = response.statusCode();
      }
      response.body().forEach(this::line);
    } catch (IOException | RuntimeException e) {
      synchronized (this) {
        problem += e;
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      ended.countDown();
    }
  }

  private synchronized void line(final String line) {
    if (line.startsWith(ID)) {
      lastEventId = line.substring(ID.length());
    } else if (line.equals(DATA + "[DONE]")) {
      whole = true;
    } else if (line.startsWith(DATA)) {
      data(line.substring(DATA.length()));
    }
    notifyAll();
  }

  private void data(final String json) {
    final JsonNode node;
    try {
      node = mapper.readTree(json);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    if (node.has("run_state")) {
      problem += json;
    }
    final JsonNode content = node.at("/choices/0/delta/content");
    if (content.isTextual()) {
      text.append(content.asText());
      tokens++;
    }
  }

  /**
   * Waits until some tokens have come.
   *
   * @param count how many
   * @throws InterruptedException if the thread is interrupted
   */
  synchronized void awaitTokens(final int count) throws InterruptedException {
    final long endMs = System.currentTimeMillis() + TimeUnit.SECONDS.toMillis(TIMEOUT_S);
    while (tokens < count && System.currentTimeMillis() < endMs) {
      wait(100);
    }
    if (tokens < count) {
      throw new AssertionError("only " + tokens + " tokens; status " + status + "; " + problem);
    }
  }

  /**
   * Waits until the stream has ended, whether whole or not.
   *
   * @return this stream
   * @throws InterruptedException if the thread is interrupted
   */
  AnswerStream awaitEnd() throws InterruptedException {
    if (!ended.await(TIMEOUT_S, TimeUnit.SECONDS)) {
      throw new AssertionError("the stream does not end");
    }
    return this;
  }

  synchronized String text() {
    return text.toString();
  }

  synchronized int tokens() {
    return tokens;
  }

  synchronized boolean isWhole() {
    return whole;
  }

  synchronized int status() {
    return status;
  }

  synchronized String lastEventId() {
    return lastEventId;
  }

  synchronized String problem() {
    return problem;
  }
}
