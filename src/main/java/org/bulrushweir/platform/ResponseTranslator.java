package org.bulrushweir.platform;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.bulrushweir.balancing.StatedLoad;
import org.bulrushweir.relay.ResponseHead;

/** Translates endpoints' answers into the product's types. */
public final class ResponseTranslator {

  private static final AsciiString KEEP_ALIVE = AsciiString.cached("keep-alive");
  private static final String TIMEOUT = "timeout=";
  private static final long MS_PER_SECOND = 1_000;

  /** The longest time that is read, in seconds; it is written without an exponent. */
  private static final long MAX_SECONDS = 86_400;

  private static final int MISDIRECTED = 421;
  private static final int MIN_LOAD_FIELDS = 3;
  private static final double PERCENT = 100;

  private ResponseTranslator() {}

  /**
   * Reads which requests an answer names.
   *
   * @param response the answer
   * @return the different ids, empty if it names none
   */
  public static List<String> namedRequests(final HttpResponse response) {
    return response.headers().getAll(HeaderNames.REQUEST_ID).stream().distinct().toList();
  }

  /**
   * Reads the signature of an answer.
   *
   * @param response the answer
   * @return the signature, empty if there is none
   */
  public static String signature(final HttpResponse response) {
    return response.headers().get(HeaderNames.ANSWER_SEAL, "");
  }

  /**
   * Reads the head of an answer.
   *
   * @param response the answer
   * @return what it says
   */
  public static ResponseHead head(final HttpResponse response) {
    final HttpHeaders headers = response.headers();
    final int status = response.status().code();
    final boolean authentic =
        headers.contains(HeaderNames.ANSWER_SEAL)
            && headers.contains(HeaderNames.REQUEST_ID)
            && !headers.contains(HttpHeaderNames.CONTENT_ENCODING);
    final boolean notRun = headers.contains(HeaderNames.NOT_RUN) || status == MISDIRECTED;
    return new ResponseHead(status, authentic, notRun, retryAfterMs(headers));
  }

  /**
   * Tells whether the endpoint that made an answer announces that it leaves.
   *
   * @param response the answer
   * @return false for an answer of another endpoint at the same address
   */
  public static boolean announcesLeaving(final HttpResponse response) {
    return response.headers().contains(HeaderNames.LEAVING)
        && response.status().code() != MISDIRECTED;
  }

  /**
   * Reads the load that the endpoint that made an answer states.
   *
   * @param response the answer
   * @return the load, empty if it states none, if it can't be read or for an answer of another
   *     endpoint at the same address
   */
  public static Optional<StatedLoad> statedLoad(final HttpResponse response) {
    final String text = response.headers().get(HeaderNames.SERVER_LOAD);
    if (text == null || response.status().code() == MISDIRECTED) {
      return Optional.empty();
    }
    final String[] fields = text.split(",", -1);
    if (fields.length < MIN_LOAD_FIELDS) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new StatedLoad(
              Integer.parseInt(fields[0].strip()),
              Integer.parseInt(fields[1].strip()),
              Integer.parseInt(fields[2].strip()),
              fields.length == MIN_LOAD_FIELDS ? OptionalDouble.empty() : pace(fields[3])));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  private static OptionalDouble pace(final String percent) {
    final double value = Double.parseDouble(percent.strip()) / PERCENT;
    return value > 0 && value < Double.POSITIVE_INFINITY
        ? OptionalDouble.of(value)
        : OptionalDouble.empty();
  }

  /**
   * Tells whether the body of an answer is a stream of events.
   *
   * @param response the answer
   * @return false for a body of another type
   */
  public static boolean isEventStream(final HttpResponse response) {
    return response
        .headers()
        .containsValue(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_EVENT_STREAM, true);
  }

  private static long retryAfterMs(final HttpHeaders headers) {
    final String text = headers.get(HttpHeaderNames.RETRY_AFTER);
    if (text == null) {
      return 0;
    }
    try {
      final double seconds = Double.parseDouble(text.strip());
      return (long) (Math.clamp(seconds, 0, MAX_SECONDS) * MS_PER_SECOND);
    } catch (NumberFormatException e) {
      // A date, which these endpoints do not send; no advice is taken from it.
      return 0;
    }
  }

  /**
   * Copies the headers of an answer for the caller, without those that concern one connection.
   *
   * @param response the answer
   * @return the headers
   */
  public static HttpHeaders forCaller(final HttpResponse response) {
    final HttpHeaders headers = response.headers().copy();
    HopHeaders.remove(headers);
    return headers;
  }

  /**
   * Reads for how long the endpoint keeps an idle connection open.
   *
   * @param response an answer on it
   * @return the time in milliseconds, empty if it does not say
   */
  public static OptionalLong idleTimeoutMs(final HttpResponse response) {
    final String text = response.headers().get(KEEP_ALIVE);
    if (text == null) {
      return OptionalLong.empty();
    }
    for (final String field : text.split(",")) {
      final String stripped = field.strip();
      if (stripped.startsWith(TIMEOUT)) {
        return seconds(stripped.substring(TIMEOUT.length()));
      }
    }
    return OptionalLong.empty();
  }

  private static OptionalLong seconds(final String text) {
    try {
      return OptionalLong.of(Math.clamp(Long.parseLong(text), 0, MAX_SECONDS) * MS_PER_SECOND);
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }
}
