package org.bulrushweir.standin;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Says how the platform stand-in misbehaves.
 *
 * @param outage true to refuse all calls
 * @param hang true to accept connections but never answer
 * @param delayMs how long each answer is delayed, in milliseconds
 * @param loseAnswers how many of the next writes take effect but lose their answers
 */
public record PlatformFaults(
    @JsonProperty("outage") boolean outage,
    @JsonProperty("hang") boolean hang,
    @JsonProperty("delay_ms") long delayMs,
    @JsonProperty("lose_answers") int loseAnswers) {

  /** No fault at all. */
  public static final PlatformFaults NONE = new PlatformFaults(false, false, 0, 0);
}
