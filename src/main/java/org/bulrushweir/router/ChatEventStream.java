package org.bulrushweir.router;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.http.Context;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.bulrushweir.delivery.AnswerSummary;
import org.bulrushweir.delivery.RequestAction;
import org.bulrushweir.engine.EngineProtocol;

/** Writes the answer to a chat request as server-sent events. */
final class ChatEventStream implements AnswerSink {

  private static final String MEDIA_TYPE = "text/event-stream";

  private final ObjectMapper mapper;
  private final Context ctx;
  private final RequestSpec spec;
  private final EndpointLinkService links;
  private OutputStream output;

  /**
   * Creates a stream. The status and headers are written with the first part, so that a request
   * which fails before it still gets an HTTP error status.
   *
   * @param mapper serialises the events' data to JSON
   * @param ctx the HTTP exchange
   * @param spec the request
   * @param links the links to endpoints, which know the incarnation of each attempt's sidecar
   */
  ChatEventStream(
      final ObjectMapper mapper,
      final Context ctx,
      final RequestSpec spec,
      final EndpointLinkService links) {
    this.mapper = mapper;
    this.ctx = ctx;
    this.spec = spec;
    this.links = links;
  }

  /**
   * Returns whether the response has begun, after which its HTTP status can't change.
   *
   * @return true once the headers are set
   */
  boolean isOpen() {
    return output != null;
  }

  @Override
  public void accept(final RequestAction.Emit emit) throws IOException {
    open(emit.endpoint().value());
    final long incarnation =
        links
            .link(emit.endpoint())
            .incarnationOf(new org.bulrushweir.api.AttemptKey(spec.id(), emit.attempt()));
    final StreamPosition position =
        new StreamPosition(
            emit.endpoint(), incarnation, spec.id(), emit.attempt(), emit.sequence());
    final String text = emit.part().payload().toStringUtf8();
    write("id: " + position + "\ndata: " + json(chunk(text, null, null)) + "\n\n");
  }

  /**
   * Ends a complete answer: writes the finish reason, the token counts and the {@code [DONE]}
   * event.
   *
   * @param summary the summary of the answer
   * @param endpoint the name of the endpoint that completed the answer
   * @throws IOException if the caller has closed its connection
   */
  void end(final AnswerSummary summary, final String endpoint) throws IOException {
    open(endpoint);
    write(
        "data: "
            + json(chunk(null, summary.finishReason(), ChatCompletions.usage(summary)))
            + "\n\ndata: [DONE]\n\n");
  }

  /**
   * Writes an error event, because the answer can't be completed.
   *
   * @param problem the problem to report
   * @throws IOException if the caller has closed its connection
   */
  void fail(final Problem problem) throws IOException {
    write("event: error\ndata: " + json(problem) + "\n\n");
  }

  private void open(final String endpoint) throws IOException {
    if (output != null) {
      return;
    }
    ctx.contentType(MEDIA_TYPE)
        .header("Cache-Control", "no-store")
        .header(Headers.REQUEST, spec.id().toString())
        .header(Headers.AFFINITY, endpoint)
        .header(Headers.RUN_STATE, "ran");
    output = ctx.res().getOutputStream();
  }

  private EngineProtocol.ChatChunk chunk(
      final String text, final String finishReason, final EngineProtocol.Usage usage) {
    return new EngineProtocol.ChatChunk(
        spec.id().toString(),
        "chat.completion.chunk",
        spec.model(),
        List.of(
            new EngineProtocol.ChunkChoice(
                0, new EngineProtocol.ChatMessage("assistant", text), finishReason)),
        usage);
  }

  private String json(final Object value) throws IOException {
    return mapper.writeValueAsString(value);
  }

  private void write(final String text) throws IOException {
    output.write(text.getBytes(StandardCharsets.UTF_8));
    output.flush();
  }
}
