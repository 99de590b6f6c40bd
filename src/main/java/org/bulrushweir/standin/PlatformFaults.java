package org.bulrushweir.standin;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Says how the platform stand-in misbehaves.
 *
 * @param outage true to refuse all calls
 * @param hang true to accept connections but never answer
 * @param delayMs how long each answer is delayed, in milliseconds
 * @param loseAnswers how many of the next writes take effect but lose their answers
 * @param lateWriteMs by how many milliseconds the writes that lose their answers take effect later
 * @param dropHistory true to have forgotten all changes but the present rows
 */
public record PlatformFaults(
    @JsonProperty("outage") boolean outage,
    @JsonProperty("hang") boolean hang,
    @JsonProperty("delay_ms") long delayMs,
    @JsonProperty("lose_answers") int loseAnswers,
    @JsonProperty("late_write_ms") long lateWriteMs,
    @JsonProperty("drop_history") boolean dropHistory) {

  /** No fault at all. */
  public static final PlatformFaults NONE = new PlatformFaults(false, false, 0, 0, 0, false);
}
