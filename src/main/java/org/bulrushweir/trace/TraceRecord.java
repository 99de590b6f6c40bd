package org.bulrushweir.trace;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A line of a trace. Times are in milliseconds since the start of the trace. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = TraceRecord.ChatRequested.class, name = "chat"),
  @JsonSubTypes.Type(value = TraceRecord.EndpointJoined.class, name = "join"),
  @JsonSubTypes.Type(value = TraceRecord.EndpointLeft.class, name = "leave"),
  @JsonSubTypes.Type(value = TraceRecord.EndpointSlowed.class, name = "slow")
})
public sealed interface TraceRecord {

  /**
   * Returns when it happened.
   *
   * @return milliseconds since the start of the trace
   */
  long timeMs();

  /**
   * A caller asked for an answer in a chat.
   *
   * @param timeMs when
   * @param organisation for whom
   * @param workClass the class of work
   * @param chat the chat's hash in hexadecimal
   * @param promptTokens the tokens of the whole prompt
   * @param outputTokens the tokens of the answer
   */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record ChatRequested(
      @JsonProperty("time_ms") long timeMs,
      @JsonProperty("organisation") String organisation,
      @JsonProperty("class") String workClass,
      @JsonProperty("chat") String chat,
      @JsonProperty("prompt_tokens") int promptTokens,
      @JsonProperty("output_tokens") int outputTokens)
      implements TraceRecord {

    /** The radix of a chat's hash. */
    private static final int HEX_RADIX = 16;

    /**
     * Returns the chat's hash.
     *
     * @return 64 bits
     */
    public long chatHash() {
      return Long.parseUnsignedLong(chat, HEX_RADIX);
    }
  }

  /**
   * An endpoint joined.
   *
   * @param timeMs when
   * @param endpoint the endpoint
   */
  record EndpointJoined(
      @JsonProperty("time_ms") long timeMs, @JsonProperty("endpoint") String endpoint)
      implements TraceRecord {}

  /**
   * An endpoint left.
   *
   * @param timeMs when
   * @param endpoint the endpoint
   * @param planned whether it could end its work and hand its caches over
   */
  record EndpointLeft(
      @JsonProperty("time_ms") long timeMs,
      @JsonProperty("endpoint") String endpoint,
      @JsonProperty("planned") boolean planned)
      implements TraceRecord {}

  /**
   * An endpoint became slow, or as fast as usual again.
   *
   * @param timeMs when
   * @param endpoint the endpoint
   * @param factor how many times longer everything takes from now on; one for the usual speed
   */
  record EndpointSlowed(
      @JsonProperty("time_ms") long timeMs,
      @JsonProperty("endpoint") String endpoint,
      @JsonProperty("factor") double factor)
      implements TraceRecord {}
}
