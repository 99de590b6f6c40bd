package org.bulrushweir.gateway;

import java.util.Optional;
import org.bulrushweir.gateway.CutOffAnswer.End;
import org.bulrushweir.gateway.CutOffAnswer.Trait;
import org.bulrushweir.relay.ResponseFraming;
import org.bulrushweir.testing.RawRequest;

/**
 * An answer of which an endpoint has sent a part.
 *
 * @param request the request that it answers
 * @param answer the answer
 * @param sent the number of its bytes that were sent
 * @param end how the connection went on
 */
record CutOffAttempt(RawRequest request, CutOffAnswer answer, int sent, End end) {

  private static final String EVENT_END = "\n\n";

  private boolean headSent() {
    return sent >= answer.head(request.id()).length();
  }

  /** Returns whether the endpoint has proved that the request was not run. */
  boolean isProvenNotRun() {
    return headSent() && answer.has(Trait.NOT_RUN);
  }

  /** Returns the last event that the receiver of the stream has, negative if there is none. */
  long resumedAfter() {
    final String last = request.header("Last-Event-Id");
    return last.isEmpty() ? -1 : Long.parseLong(last);
  }

  /** Returns whether the end of the answer is recognised without the end of its connection. */
  boolean isSelfDelimiting() {
    return answer.bodyless() || answer.framing() != ResponseFraming.CONNECTION;
  }

  /** Returns the body if a whole answer was sent. */
  Optional<String> wholeBody(final boolean stream) {
    final String bytes = answer.bytes(request.id());
    if (isSelfDelimiting()) {
      return sent == bytes.length() ? Optional.of(answer.body()) : Optional.empty();
    }
    if (!headSent() || end != End.CLOSED && end != End.HALF_CLOSED) {
      return Optional.empty();
    }
    final String body = bytes.substring(answer.head(request.id()).length(), sent);
    return stream && answer.isSuccess() && !body.endsWith(EVENT_END)
        ? Optional.empty()
        : Optional.of(body);
  }
}
