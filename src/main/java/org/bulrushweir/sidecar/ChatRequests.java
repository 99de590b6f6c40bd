package org.bulrushweir.sidecar;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.bulrushweir.api.RequestId;
import org.bulrushweir.engine.EngineProtocol;
import org.bulrushweir.wire.generated.Dispatch;

/** Turns what a caller asked for into what the engine is asked for. */
final class ChatRequests {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ChatRequests() {}

  /**
   * Builds the engine's request.
   *
   * @param dispatch the attempt
   * @param priority the priority of its class
   * @return the request
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
   * Parses a caller's body.
   *
   * @param body the JSON text
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
