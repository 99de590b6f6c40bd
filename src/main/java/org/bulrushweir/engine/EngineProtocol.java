package org.bulrushweir.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** The JSON messages of the engines' HTTP interface, in the style of the OpenAI interface. */
public final class EngineProtocol {

  private EngineProtocol() {}

  /**
   * One message of a chat.
   *
   * @param role who speaks
   * @param content what is said
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record ChatMessage(
      @JsonProperty("role") String role, @JsonProperty("content") String content) {}

  /**
   * Asks for the next message of a chat.
   *
   * @param model the model to ask
   * @param messages the chat so far
   * @param maxTokens the most tokens to generate, null for the engine's default
   * @param stream whether to send the answer in parts
   * @param requestId the id by which the request can be resumed or cancelled
   * @param priority smaller numbers go first
   * @param continueFinalMessage whether the last message is the start of the answer
   * @param cacheKey names the chat, so that its cache can be exported
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record ChatRequest(
      @JsonProperty("model") String model,
      @JsonProperty("messages") List<ChatMessage> messages,
      @JsonProperty("max_tokens") Integer maxTokens,
      @JsonProperty("stream") Boolean stream,
      @JsonProperty("request_id") String requestId,
      @JsonProperty("priority") Integer priority,
      @JsonProperty("continue_final_message") Boolean continueFinalMessage,
      @JsonProperty("cache_key") String cacheKey) {}

  /**
   * A part of an answer.
   *
   * @param id the id of the answer
   * @param object the kind of message
   * @param model the model
   * @param choices one choice with the new text
   * @param usage token counts, in the last part only
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record ChatChunk(
      @JsonProperty("id") String id,
      @JsonProperty("object") String object,
      @JsonProperty("model") String model,
      @JsonProperty("choices") List<ChunkChoice> choices,
      @JsonProperty("usage") Usage usage) {}

  /**
   * The new text of a choice.
   *
   * @param index the choice's index
   * @param delta the new text
   * @param finishReason why the answer ends here, null if it goes on
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record ChunkChoice(
      @JsonProperty("index") int index,
      @JsonProperty("delta") ChatMessage delta,
      @JsonProperty("finish_reason") String finishReason) {}

  /**
   * A whole answer.
   *
   * @param id the id of the answer
   * @param object the kind of message
   * @param model the model
   * @param choices one choice with the whole text
   * @param usage token counts
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record ChatAnswer(
      @JsonProperty("id") String id,
      @JsonProperty("object") String object,
      @JsonProperty("model") String model,
      @JsonProperty("choices") List<AnswerChoice> choices,
      @JsonProperty("usage") Usage usage) {}

  /**
   * The whole text of a choice.
   *
   * @param index the choice's index
   * @param message the text
   * @param finishReason why the answer ends
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record AnswerChoice(
      @JsonProperty("index") int index,
      @JsonProperty("message") ChatMessage message,
      @JsonProperty("finish_reason") String finishReason) {}

  /**
   * Token counts of an answer.
   *
   * @param promptTokens tokens of the prompt
   * @param completionTokens tokens of the answer
   * @param promptTokensDetails how much of the prompt was cached
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record Usage(
      @JsonProperty("prompt_tokens") int promptTokens,
      @JsonProperty("completion_tokens") int completionTokens,
      @JsonProperty("prompt_tokens_details") PromptTokensDetails promptTokensDetails) {}

  /**
   * Details of the prompt's tokens.
   *
   * @param cachedTokens tokens that were found in the prefix cache
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record PromptTokensDetails(@JsonProperty("cached_tokens") int cachedTokens) {}

  /**
   * An order to an engine.
   *
   * @param fencingNumber the number of the holder of the right to give orders
   * @param model the model to load or unload
   * @param version the model's version
   * @param adapters the adapters to load with the model
   * @param loaded true to load, false to unload
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record Order(
      @JsonProperty("fencing_number") long fencingNumber,
      @JsonProperty("model") String model,
      @JsonProperty("version") String version,
      @JsonProperty("adapters") List<String> adapters,
      @JsonProperty("loaded") boolean loaded) {}

  /**
   * A model as an engine has loaded it.
   *
   * @param model the model
   * @param version its version
   * @param adapters its adapters
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record LoadedModel(
      @JsonProperty("model") String model,
      @JsonProperty("version") String version,
      @JsonProperty("adapters") List<String> adapters) {}

  /**
   * The state of an engine.
   *
   * @param models the models that are loaded
   * @param fencingNumber the greatest fencing number seen
   * @param lastOrderFencingNumber the fencing number of the last order carried out
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record EngineState(
      @JsonProperty("models") List<LoadedModel> models,
      @JsonProperty("fencing_number") long fencingNumber,
      @JsonProperty("last_order_fencing_number") long lastOrderFencingNumber) {}

  /**
   * A lagging report of an engine's load.
   *
   * @param running requests being generated
   * @param waiting requests that wait in the engine
   * @param ageMs the report's age in milliseconds
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record LoadReport(
      @JsonProperty("running") int running,
      @JsonProperty("waiting") int waiting,
      @JsonProperty("age_ms") long ageMs) {}

  /**
   * A change of an engine's prefix cache.
   *
   * @param sequence counts the events; gaps are lost events
   * @param block the hash of the block
   * @param stored true if the block was stored, false if it was evicted
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record CacheEvent(
      @JsonProperty("sequence") long sequence,
      @JsonProperty("block") long block,
      @JsonProperty("stored") boolean stored) {}

  /**
   * Cache events.
   *
   * @param events the events in order
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record CacheEvents(@JsonProperty("events") List<CacheEvent> events) {}

  /**
   * The exported cache of a chat.
   *
   * @param blocks the hashes of its blocks, from the start of the prompt
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record CacheExport(@JsonProperty("blocks") List<Long> blocks) {}
}
