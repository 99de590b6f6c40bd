package org.bulrushweir.sidecar;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.bulrushweir.api.RequestId;
import org.bulrushweir.engine.EngineProtocol;
import org.bulrushweir.wire.generated.Dispatch;

/** Converts chat requests of callers into requests to the engine. */
final class ChatRequests {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ChatRequests() {}

  /**
   * Builds the request to the engine.
   *
   * @param dispatch the router's message with the caller's body, and the beginning of the answer if
   *     an earlier attempt generated one
   * @param priority the scheduling priority of the attempt's class
   * @return a streaming request
   * @throws IllegalArgumentException if the caller's body is malformed
   */
  static EngineProtocol.ChatRequest forEngine(final Dispatch dispatch, final int priority) {
    final EngineProtocol.ChatRequest request = parse(dispatch.getBody().toByteArray());
    final List<EngineProtocol.ChatMessage> messages = new ArrayList<>(request.messages());
    final boolean continued = dispatch.getContinuationTokens() > 0;
    if (continued) {
      messages.add(new EngineProtocol.ChatMessage("assistant", dispatch.getContinuation()));
    }
    return new EngineProtocol.ChatRequest(
        request.model(),
        messages,
        request.maxTokens(),
        true,
        new RequestId(dispatch.getRequest()) + "-" + dispatch.getAttempt(),
        priority,
        continued ? true : null,
        CacheHandover.cacheKey(dispatch.getChat()));
  }

  /**
   * Parses the body of a caller's request.
   *
   * @param body the body as JSON
   * @return the request
   * @throws IllegalArgumentException if the body is malformed
   */
  private static EngineProtocol.ChatRequest parse(final byte[] body) {
    try {
      return MAPPER.readValue(body, EngineProtocol.ChatRequest.class);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("malformed JSON: " + e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new IllegalStateException("bytes in memory can't be read", e);
    }
  }
}
