package org.bulrushweir.router;

import java.util.List;
import org.bulrushweir.delivery.AnswerSummary;
import org.bulrushweir.engine.EngineProtocol;

/** Builds the JSON objects of chat completions. */
final class ChatCompletions {

  private ChatCompletions() {}

  /**
   * Builds the body of a response that is not streamed.
   *
   * @param spec the request
   * @param text the whole generated text
   * @param summary the summary of the answer
   * @return the response body
   */
  static EngineProtocol.ChatAnswer answer(
      final RequestSpec spec, final String text, final AnswerSummary summary) {
    return new EngineProtocol.ChatAnswer(
        spec.id().toString(),
        "chat.completion",
        spec.model(),
        List.of(
            new EngineProtocol.AnswerChoice(
                0, new EngineProtocol.ChatMessage("assistant", text), summary.finishReason())),
        usage(summary));
  }

  /**
   * Builds the token counts of an answer.
   *
   * @param summary the summary of the answer
   * @return the token counts
   */
  static EngineProtocol.Usage usage(final AnswerSummary summary) {
    return new EngineProtocol.Usage(
        summary.promptTokens(),
        summary.outputTokens(),
        new EngineProtocol.PromptTokensDetails(summary.cachedTokens()));
  }
}
