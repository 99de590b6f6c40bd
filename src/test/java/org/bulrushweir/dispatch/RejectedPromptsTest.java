package org.bulrushweir.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests that a preview forgets no rejected prompt. */
class RejectedPromptsTest {

  /** Guards against a returning prompt that loses its turn because somebody asked about it. */
  @Test
  void previewLeavesThePromptItsTurn() {
    final RejectedPrompts prompts = new RejectedPrompts();
    prompts.record(Optional.empty(), 7, 1_000, 200, 2_000);
    assertEquals(1_000, prompts.previewSinceMs(Optional.empty(), 7, 2_300));
    assertEquals(1_000, prompts.sinceMs(Optional.empty(), 7, 2_300));
    assertEquals(2_300, prompts.previewSinceMs(Optional.empty(), 7, 2_300));
  }
}
