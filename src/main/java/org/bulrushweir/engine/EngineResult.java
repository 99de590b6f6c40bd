package org.bulrushweir.engine;

/** The result of a call to an engine or plain service. */
public sealed interface EngineResult {

  /**
   * The engine generated the complete answer.
   *
   * @param usage the token counts
   * @param finishReason the engine's reason for ending the answer
   */
  record Generated(EngineProtocol.Usage usage, String finishReason) implements EngineResult {}

  /**
   * The service sent a complete response, with any status.
   *
   * @param httpStatus the HTTP status
   * @param contentType the content type, empty if there is none
   * @param body the response body
   */
  record Answered(int httpStatus, String contentType, byte[] body) implements EngineResult {}

  /**
   * The endpoint refused the call or could not be reached; the request was certainly not run.
   *
   * @param modelMissing true if the engine does not have the model loaded
   * @param detail a description of the failure
   */
  record Refused(boolean modelMissing, String detail) implements EngineResult {}

  /**
   * The call failed after the request may have been sent; it may have run.
   *
   * @param detail a description of the failure
   */
  record Broken(String detail) implements EngineResult {}
}
