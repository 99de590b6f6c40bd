package org.bulrushweir.router;

import java.util.List;
import org.bulrushweir.delivery.AnswerSummary;
import org.bulrushweir.engine.EngineProtocol;

/** Builds whole answers of chats. */
final class ChatCompletions {

  private ChatCompletions() {}

  /**
   * Builds an answer.
   *
   * @param spec the request
   * @param text the whole text
   * @param summary the answer's summary
   * @return the answer
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
   * Builds the token counts.
   *
   * @param summary the answer's summary
   * @return the counts
   */
  static EngineProtocol.Usage usage(final AnswerSummary summary) {
    return new EngineProtocol.Usage(
        summary.promptTokens(),
        summary.outputTokens(),
        new EngineProtocol.PromptTokensDetails(summary.cachedTokens()));
  }
}
