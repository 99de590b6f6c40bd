package org.bulrushweir.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.javalin.http.HttpStatus;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushweir.api.Clock;
import org.bulrushweir.engine.EngineProtocol;

/** Stands in for a model engine. */
public final class EngineStandIn implements AutoCloseable {

  private static final int DEFAULT_MAX_TOKENS = 32;

  private final ObjectMapper mapper = new ObjectMapper();
  private final Map<String, EngineRun> runs = new ConcurrentHashMap<>();
  private final Map<String, EngineRun> runsByCacheKey = new ConcurrentHashMap<>();
  private final Map<String, EngineProtocol.LoadedModel> models = new TreeMap<>();
  private final AtomicInteger started = new AtomicInteger();
  private final EngineOptions options;
  private final CacheEventLog events;
  private final PrefixCache cache;
  private final EngineScheduler scheduler;
  private final Thread schedulerThread;
  private final Javalin server;
  private long fencingToken;
  private long lastOrderFencingToken;

  /**
   * Starts the stand-in.
   *
   * @param host the IP number to bind
   * @param port the port, zero for any
   * @param clock the clock
   * @param options the options
   */
  public EngineStandIn(
      final String host, final int port, final Clock clock, final EngineOptions options) {
    this.options = options;
    this.events =
        new CacheEventLog(clock, options.eventLagMs(), options.eventLossRate(), new Random(port));
    this.cache = new PrefixCache(options.cacheBlocks(), events);
    this.scheduler = new EngineScheduler(options, cache, clock);
    options.models().forEach(model -> models.put(model.model(), model));
    this.schedulerThread = Thread.ofPlatform().name("engine").daemon().start(scheduler);
    this.server = StandInServer.start(host, port, this::addRoutes);
  }

  private void addRoutes(final JavalinConfig config) {
    config.routes.post("/v1/chat/completions", this::chat);
    config.routes.get("/v1/requests/{id}", this::resume);
    config.routes.delete("/v1/requests/{id}", this::cancel);
    config.routes.get("/v1/load", ctx -> ctx.json(scheduler.laggingLoad()));
    config.routes.get("/v1/cache/events", this::cacheEvents);
    config.routes.get("/v1/cache/{key}", this::exportCache);
    config.routes.put("/v1/cache/{key}", this::importCache);
    config.routes.post("/v1/orders", this::order);
    config.routes.get("/v1/state", ctx -> ctx.json(engineState()));
    config.routes.get("/health", ctx -> ctx.result("ok"));
    config.routes.get("/control/started", ctx -> ctx.result(Integer.toString(started.get())));
    config.routes.get(
        "/control/peak", ctx -> ctx.result(Integer.toString(scheduler.peakRunning())));
    config.routes.put("/control/slow", ctx -> scheduler.slowDown(Double.parseDouble(ctx.body())));
  }

  /**
   * Returns the port.
   *
   * @return the bound port
   */
  public int port() {
    return server.port();
  }

  /**
   * Slows the engine down.
   *
   * @param factor how many times longer each step takes
   */
  public void slowDown(final double factor) {
    scheduler.slowDown(factor);
  }

  private void chat(final Context ctx) throws IOException, InterruptedException {
    final EngineProtocol.ChatRequest request = ctx.bodyAsClass(EngineProtocol.ChatRequest.class);
    if (!isLoaded(request.model())) {
      ctx.status(HttpStatus.NOT_FOUND).result("the model is not loaded");
      return;
    }
    final EngineRun run = toRun(request);
    started.incrementAndGet();
    if (request.requestId() != null) {
      runs.put(request.requestId(), run);
    }
    if (request.cacheKey() != null) {
      runsByCacheKey.put(request.cacheKey(), run);
    }
    scheduler.add(run);
    if (Boolean.TRUE.equals(request.stream())) {
      stream(ctx, run, 0, request.model());
      return;
    }
    final StringBuilder text = new StringBuilder();
    int index = 0;
    for (String token = run.awaitToken(index); token != null; token = run.awaitToken(index)) {
      text.append(token);
      index++;
    }
    ctx.json(
        new EngineProtocol.ChatAnswer(
            "answer",
            "chat.completion",
            request.model(),
            List.of(
                new EngineProtocol.AnswerChoice(
                    0, new EngineProtocol.ChatMessage("assistant", text.toString()), "stop")),
            usage(run, index)));
  }

  private static EngineRun toRun(final EngineProtocol.ChatRequest request) {
    final List<String> prompt = new ArrayList<>();
    for (final EngineProtocol.ChatMessage message : request.messages()) {
      prompt.addAll(Arrays.asList(message.content().strip().split("\\s+")));
    }
    int skip = 0;
    if (Boolean.TRUE.equals(request.continueFinalMessage())) {
      skip = request.messages().getLast().content().strip().split("\\s+").length;
    }
    final int length = request.maxTokens() == null ? DEFAULT_MAX_TOKENS : request.maxTokens();
    final int priority = request.priority() == null ? 0 : request.priority();
    return new EngineRun(prompt, skip, length, priority);
  }

  private void stream(final Context ctx, final EngineRun run, final int from, final String model)
      throws IOException, InterruptedException {
    ctx.contentType("text/event-stream");
    final OutputStream output = ctx.res().getOutputStream();
    int index = from;
    for (String token = run.awaitToken(index); token != null; token = run.awaitToken(index)) {
      writeEvent(output, chunk(model, token, null, null));
      index++;
    }
    final String reason = run.cancelled() ? "cancelled" : "stop";
    writeEvent(output, chunk(model, null, reason, usage(run, index)));
    output.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
    output.flush();
  }

  private static EngineProtocol.ChatChunk chunk(
      final String model,
      final String token,
      final String finishReason,
      final EngineProtocol.Usage usage) {
    return new EngineProtocol.ChatChunk(
        "answer",
        "chat.completion.chunk",
        model,
        List.of(
            new EngineProtocol.ChunkChoice(
                0, new EngineProtocol.ChatMessage("assistant", token), finishReason)),
        usage);
  }

  private static EngineProtocol.Usage usage(final EngineRun run, final int outputTokens) {
    return new EngineProtocol.Usage(
        run.promptTokens(),
        outputTokens,
        new EngineProtocol.PromptTokensDetails(run.cachedTokens()));
  }

  private void writeEvent(final OutputStream output, final EngineProtocol.ChatChunk chunk)
      throws IOException {
    output.write("data: ".getBytes(StandardCharsets.UTF_8));
    output.write(mapper.writeValueAsBytes(chunk));
    output.write("\n\n".getBytes(StandardCharsets.UTF_8));
    output.flush();
  }

  private void resume(final Context ctx) throws IOException, InterruptedException {
    final EngineRun run = runs.get(ctx.pathParam("id"));
    if (run == null) {
      ctx.status(HttpStatus.NOT_FOUND);
      return;
    }
    stream(ctx, run, ctx.queryParamAsClass("from", Integer.class).getOrDefault(0), "resumed");
  }

  private void cancel(final Context ctx) {
    final EngineRun run = runs.get(ctx.pathParam("id"));
    if (run == null) {
      ctx.status(HttpStatus.NOT_FOUND);
      return;
    }
    run.cancel();
  }

  private void cacheEvents(final Context ctx) {
    final long after = ctx.queryParamAsClass("after", Long.class).getOrDefault(0L);
    ctx.json(new EngineProtocol.CacheEvents(events.after(after)));
  }

  private void exportCache(final Context ctx) {
    final EngineRun run = runsByCacheKey.get(ctx.pathParam("key"));
    if (run == null) {
      ctx.status(HttpStatus.NOT_FOUND);
      return;
    }
    synchronized (scheduler) {
      ctx.json(new EngineProtocol.CacheExport(cache.cachedBlocks(run.blocksWithAnswer())));
    }
  }

  private void importCache(final Context ctx) {
    synchronized (scheduler) {
      cache.store(ctx.bodyAsClass(EngineProtocol.CacheExport.class).blocks());
    }
  }

  private synchronized boolean isLoaded(final String model) {
    return models.containsKey(model);
  }

  private void order(final Context ctx) throws InterruptedException {
    final EngineProtocol.Order order = ctx.bodyAsClass(EngineProtocol.Order.class);
    Thread.sleep(options.loadMs());
    if (!carryOut(order)) {
      ctx.status(HttpStatus.CONFLICT).result("the fencing number is old");
    }
  }

  private synchronized boolean carryOut(final EngineProtocol.Order order) {
    if (options.checksFencing() && order.fencingToken() < fencingToken) {
      return false;
    }
    fencingToken = Math.max(fencingToken, order.fencingToken());
    lastOrderFencingToken = order.fencingToken();
    if (order.loaded()) {
      models.put(
          order.model(),
          new EngineProtocol.LoadedModel(order.model(), order.version(), order.adapters()));
    } else {
      models.remove(order.model());
    }
    return true;
  }

  private synchronized EngineProtocol.EngineState engineState() {
    return new EngineProtocol.EngineState(
        List.copyOf(models.values()), fencingToken, lastOrderFencingToken);
  }

  @Override
  public void close() {
    schedulerThread.interrupt();
    server.stop();
  }
}
