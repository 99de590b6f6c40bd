package org.bulrushweir.platform;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.OptionalLong;
import org.bulrushweir.relay.RequestHead;

/** Builds the head of a request that is explained, by the code that reads those of callers. */
public final class ExplainedRequest {

  private ExplainedRequest() {}

  /**
   * Builds a head without a key.
   *
   * @param id the id of the request
   * @param host the requested host
   * @param path the path
   * @param prompt the segments of the prompt as callers write them, empty for a call
   * @param outputTokens the highest number of output tokens, empty if it is not stated
   * @param deadlineMs the time that the caller waits, in milliseconds, empty if it is not stated
   * @return the head
   * @throws IllegalArgumentException if a value can't be part of a request
   */
  public static RequestHead head(
      final String id,
      final String host,
      final String path,
      final String prompt,
      final OptionalLong outputTokens,
      final OptionalLong deadlineMs) {
    final HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
    final HttpHeaders headers = request.headers();
    headers.set(HttpHeaderNames.HOST, host);
    headers.set(HeaderNames.REQUEST_ID, id);
    if (!prompt.isEmpty()) {
      headers.set(HeaderNames.PROMPT_PARTS, prompt);
    }
    outputTokens.ifPresent(tokens -> headers.set(HeaderNames.TOKENS, "0," + tokens));
    deadlineMs.ifPresent(ms -> headers.set(HeaderNames.TIME_LEFT, Long.toString(ms)));
    final Optional<RequestHead> head = RequestTranslator.head(request);
    if (head.isEmpty()) {
      throw new IllegalArgumentException("the path must start with / and the id must not be empty");
    }
    final int segments = prompt.isEmpty() ? 0 : prompt.split(",").length;
    if (head.get().prompt().size() < segments) {
      throw new IllegalArgumentException(
          "segment "
              + (head.get().prompt().size() + 1)
              + " of the prompt can't be read; write ID:TOKENS with a hexadecimal ID");
    }
    return head.get();
  }
}
