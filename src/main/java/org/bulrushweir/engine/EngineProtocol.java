package org.bulrushweir.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** Defines the JSON messages of the engines' HTTP API, which follows the OpenAI API. */
public final class EngineProtocol {

  private EngineProtocol() {}

  /**
   * One message of a chat, or the new text of one in a chunk.
   *
   * @param role the role of the author, such as "user" or "assistant"; null if absent
   * @param content the text of the message, null if absent
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record ChatMessage(
      @JsonProperty("role") String role, @JsonProperty("content") String content) {}

  /**
   * A request for the next message of a chat. Components that are absent from the JSON text are
   * null, and components that are null are not written.
   *
   * @param model the name of the model
   * @param messages the chat so far
   * @param maxTokens the maximum number of tokens to generate, null for the engine's default
   * @param stream true to stream the answer in chunks
   * @param requestId the id by which the request can be resumed or cancelled at the engine
   * @param priority the scheduling priority; smaller numbers are scheduled first
   * @param continueFinalMessage true if the last message is the beginning of the answer, which the
   *     engine continues; null for a new answer
   * @param cacheKey the key under which the chat's cache can be exported later
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
   * A chunk of a streamed answer.
   *
   * @param id the id of the answer
   * @param object the type of the message, as in the OpenAI API
   * @param model the model
   * @param choices a single choice with the new text
   * @param usage the token counts, in the last chunk only, else null
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
   * The new text of a choice within a chunk.
   *
   * @param index the choice's index
   * @param delta the new text
   * @param finishReason the reason why the answer ends with this chunk, null if it continues
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record ChunkChoice(
      @JsonProperty("index") int index,
      @JsonProperty("delta") ChatMessage delta,
      @JsonProperty("finish_reason") String finishReason) {}

  /**
   * A complete answer.
   *
   * @param id the id of the answer
   * @param object the type of the message, as in the OpenAI API
   * @param model the model
   * @param choices a single choice with the complete text
   * @param usage the token counts
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record ChatAnswer(
      @JsonProperty("id") String id,
      @JsonProperty("object") String object,
      @JsonProperty("model") String model,
      @JsonProperty("choices") List<AnswerChoice> choices,
      @JsonProperty("usage") Usage usage) {}

  /**
   * The complete text of a choice.
   *
   * @param index the choice's index
   * @param message the text
   * @param finishReason the reason why the answer ended
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record AnswerChoice(
      @JsonProperty("index") int index,
      @JsonProperty("message") ChatMessage message,
      @JsonProperty("finish_reason") String finishReason) {}

  /**
   * Token counts of an answer.
   *
   * @param promptTokens the number of tokens of the prompt
   * @param completionTokens the number of tokens of the answer
   * @param promptTokensDetails the cached share of the prompt, null if the engine does not report
   *     it
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record Usage(
      @JsonProperty("prompt_tokens") int promptTokens,
      @JsonProperty("completion_tokens") int completionTokens,
      @JsonProperty("prompt_tokens_details") PromptTokensDetails promptTokensDetails) {}

  /**
   * Details of the token count of the prompt.
   *
   * @param cachedTokens the number of tokens found in the prefix cache
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record PromptTokensDetails(@JsonProperty("cached_tokens") int cachedTokens) {}

  /**
   * An order to an engine to load or unload a model.
   *
   * @param fencingToken the fencing token of the sender; an engine that checks it refuses a lower
   *     token than it has seen
   * @param model the model to load or unload
   * @param version the model's version
   * @param adapters the adapters to load with the model
   * @param loaded true to load, false to unload
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record Order(
      @JsonProperty("fencing_number") long fencingToken,
      @JsonProperty("model") String model,
      @JsonProperty("version") String version,
      @JsonProperty("adapters") List<String> adapters,
      @JsonProperty("loaded") boolean loaded) {}

  /**
   * A model that an engine has loaded.
   *
   * @param model the model
   * @param version its version
   * @param adapters the adapters loaded with it, empty if there are none, null if absent
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record LoadedModel(
      @JsonProperty("model") String model,
      @JsonProperty("version") String version,
      @JsonProperty("adapters") List<String> adapters) {}

  /**
   * The state of an engine.
   *
   * @param models the models that are loaded, empty if there are none, null if absent
   * @param fencingToken the greatest fencing token that the engine has seen
   * @param lastOrderFencingToken the fencing token of the last order that the engine carried out
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record EngineState(
      @JsonProperty("models") List<LoadedModel> models,
      @JsonProperty("fencing_number") long fencingToken,
      @JsonProperty("last_order_fencing_number") long lastOrderFencingToken) {}

  /**
   * A report of an engine's load, which may be delayed.
   *
   * @param running the number of requests being generated
   * @param waiting the number of requests queued in the engine
   * @param ageMs the age of the report in milliseconds
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record LoadReport(
      @JsonProperty("running") int running,
      @JsonProperty("waiting") int waiting,
      @JsonProperty("age_ms") long ageMs) {}

  /**
   * A change of an engine's prefix cache.
   *
   * @param sequence the sequence number of the event; a gap means that events were lost
   * @param block the hash of the block
   * @param stored true if the block was stored, false if it was evicted
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record CacheEvent(
      @JsonProperty("sequence") long sequence,
      @JsonProperty("block") long block,
      @JsonProperty("stored") boolean stored) {}

  /**
   * A batch of cache events.
   *
   * @param events the events in the order of their sequence numbers
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
