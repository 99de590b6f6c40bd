package org.bulrushweir.engine;

/** Tells how a call of an engine or service ended. */
public sealed interface EngineResult {

  /**
   * The engine generated the whole answer.
   *
   * @param usage token counts
   * @param finishReason why the answer ended
   */
  record Generated(EngineProtocol.Usage usage, String finishReason) implements EngineResult {}

  /**
   * The service answered.
   *
   * @param httpStatus the HTTP status
   * @param contentType the content type
   * @param body the body
   */
  record Answered(int httpStatus, String contentType, byte[] body) implements EngineResult {}

  /**
   * The endpoint refused the call, or could not be reached; nothing was run.
   *
   * @param modelMissing true if the engine does not have the model loaded
   * @param detail what happened
   */
  record Refused(boolean modelMissing, String detail) implements EngineResult {}

  /**
   * The call broke off; it may have run.
   *
   * @param detail what happened
   */
  record Broken(String detail) implements EngineResult {}
}
