package org.bulrushweir.router;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.javalin.http.HttpStatus;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushweir.api.RequestId;
import org.bulrushweir.configuration.AcceptedConfig;
import org.bulrushweir.delivery.RefusalKind;
import org.bulrushweir.delivery.RequestOutcome;
import org.bulrushweir.kernel.KernelService;
import org.bulrushweir.metrics.FleetMetrics;
import org.bulrushweir.node.ConfigService;
import org.bulrushweir.settings.ProcessSettings;

/** Serves the router's HTTP interface for callers, health checks and metrics. */
public final class RouterHttpService implements KernelService {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long MAXIMUM_BODY_BYTES = 67_108_864;

  /** How long the router is reported as not ready before it refuses new requests. */
  private static final long DRAIN_NOTICE_MS = 500;

  private static final long DRAIN_POLL_MS = 20;
  private static final long MILLISECONDS_PER_SECOND = 1_000;

  private final ObjectMapper mapper = new ObjectMapper();
  private final RequestParser parser = new RequestParser();
  private final SecureRandom random = new SecureRandom();
  private final AtomicInteger inFlight = new AtomicInteger();
  private final ProcessSettings settings;
  private final ConfigService configuration;
  private final RequestDriver driver;
  private final FleetMetrics metrics;
  private Javalin server;
  private volatile boolean draining;
  private volatile boolean refusing;

  /**
   * Creates the service.
   *
   * @param settings the settings of the process
   * @param configuration provides the configuration in force
   * @param driver runs requests
   * @param metrics the metrics of this process
   */
  public RouterHttpService(
      final ProcessSettings settings,
      final ConfigService configuration,
      final RequestDriver driver,
      final FleetMetrics metrics) {
    this.settings = settings;
    this.configuration = configuration;
    this.driver = driver;
    this.metrics = metrics;
  }

  @Override
  public void start() {
    server =
        Javalin.create(
                config -> {
                  config.startup.showJavalinBanner = false;
                  config.startup.showOldJavalinVersionWarning = false;
                  config.concurrency.useVirtualThreads = true;
                  config.http.maxRequestSize = MAXIMUM_BODY_BYTES;
                  addRoutes(config);
                })
            .start(settings.http().host(), settings.http().port());
  }

  private void addRoutes(final JavalinConfig config) {
    config.routes.get("/health", ctx -> ctx.result("ok"));
    config.routes.get("/ready", this::ready);
    config.routes.get(
        "/metrics", ctx -> ctx.contentType(FleetMetrics.MEDIA_TYPE).result(metrics.text()));
    config.routes.post("/v1/chat/completions", ctx -> serve(ctx, this::chat));
    config.routes.get("/services/{service}/<path>", ctx -> serve(ctx, this::call));
    config.routes.post("/services/{service}/<path>", ctx -> serve(ctx, this::call));
    config.routes.put("/services/{service}/<path>", ctx -> serve(ctx, this::call));
    config.routes.patch("/services/{service}/<path>", ctx -> serve(ctx, this::call));
    config.routes.delete("/services/{service}/<path>", ctx -> serve(ctx, this::call));
  }

  /**
   * Returns the port on which callers connect. May be called only after the start.
   *
   * @return the bound port
   */
  public int port() {
    return server.port();
  }

  /**
   * Returns the number of requests in flight.
   *
   * @return the number of requests that have not been answered completely
   */
  public int inFlight() {
    return inFlight.get();
  }

  /**
   * Returns whether the router is stopping and no longer ready for new callers.
   *
   * @return true if it is draining
   */
  public boolean isDraining() {
    return draining;
  }

  @Override
  public void stop() {
    draining = true;
    logger.atInfo().log("draining; %d requests in flight", inFlight.get());
    try {
      Thread.sleep(DRAIN_NOTICE_MS);
      refusing = true;
      while (inFlight.get() > 0) {
        Thread.sleep(DRAIN_POLL_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    server.stop();
  }

  private void ready(final Context ctx) {
    if (draining || configuration.inForce().isEmpty()) {
      ctx.status(HttpStatus.SERVICE_UNAVAILABLE).result("not ready");
      return;
    }
    ctx.result("ready");
  }

  private void serve(final Context ctx, final Handler handler) throws Exception {
    inFlight.incrementAndGet();
    try {
      serveCounted(ctx, handler);
    } finally {
      inFlight.decrementAndGet();
    }
  }

  private void serveCounted(final Context ctx, final Handler handler) throws Exception {
    final RequestId id = new RequestId(random.nextLong());
    if (refusing) {
      ctx.header("Connection", "close");
      sendProblem(
          ctx,
          Problems.of(
              new RequestOutcome.NotRun(RefusalKind.LEAVING, 0, "this router is stopping"), id));
      return;
    }
    final AcceptedConfig config = configuration.inForce().orElse(null);
    if (config == null) {
      sendProblem(
          ctx,
          Problems.of(
              new RequestOutcome.NotRun(
                  RefusalKind.NO_ENDPOINT,
                  MILLISECONDS_PER_SECOND,
                  "no configuration is in force yet"),
              id));
      return;
    }
    try {
      handler.handle(ctx, id, config);
    } catch (ProblemException e) {
      sendProblem(ctx, Problems.of(e, id));
    }
  }

  private void chat(final Context ctx, final RequestId id, final AcceptedConfig config)
      throws IOException, InterruptedException {
    final RequestParser.ChatSpec chat = parser.readChat(ctx, id, config.declaration());
    final String lastEvent = ctx.header(Headers.LAST_EVENT_ID);
    if (lastEvent != null) {
      resumeChat(ctx, chat.spec(), lastEvent);
    } else if (chat.stream()) {
      streamChat(ctx, chat.spec());
    } else {
      unstreamedChat(ctx, chat.spec());
    }
  }

  private void streamChat(final Context ctx, final RequestSpec spec)
      throws IOException, InterruptedException {
    final ChatEventStream stream = new ChatEventStream(mapper, ctx, spec, driver.links());
    endStream(ctx, spec, stream, driver.run(spec, stream));
  }

  private void resumeChat(final Context ctx, final RequestSpec spec, final String lastEvent)
      throws IOException, InterruptedException {
    final StreamPosition position;
    try {
      position = StreamPosition.parse(lastEvent);
    } catch (IllegalArgumentException e) {
      throw new ProblemException(HttpStatus.BAD_REQUEST.getCode(), "bad-event-id", e.getMessage());
    }
    final RequestSpec resumed = spec.withId(position.request());
    final ChatEventStream stream = new ChatEventStream(mapper, ctx, resumed, driver.links());
    endStream(ctx, resumed, stream, driver.takeOver(resumed, position, stream));
  }

  private void endStream(
      final Context ctx,
      final RequestSpec spec,
      final ChatEventStream stream,
      final RequestOutcome outcome)
      throws IOException {
    switch (outcome) {
      case RequestOutcome.Ran ran -> stream.end(ran.summary(), ran.endpoint().value());
      case RequestOutcome.NotRun notRun -> sendProblem(ctx, Problems.of(notRun, spec.id()));
      case RequestOutcome.Unknown unknown -> {
        final Problem problem = Problems.of(unknown, spec.id());
        if (stream.isOpen()) {
          stream.fail(problem);
        } else {
          sendProblem(ctx, problem);
        }
      }
    }
  }

  private void unstreamedChat(final Context ctx, final RequestSpec spec)
      throws IOException, InterruptedException {
    final StringBuilder text = new StringBuilder();
    final RequestOutcome outcome =
        driver.run(spec, emit -> text.append(emit.part().payload().toStringUtf8()));
    switch (outcome) {
      case RequestOutcome.Ran ran ->
          ctx.header(Headers.REQUEST, spec.id().toString())
              .header(Headers.AFFINITY, ran.endpoint().value())
              .header(Headers.RUN_STATE, "ran")
              .contentType("application/json")
              .result(
                  mapper.writeValueAsBytes(
                      ChatCompletions.answer(spec, text.toString(), ran.summary())));
      case RequestOutcome.NotRun notRun -> sendProblem(ctx, Problems.of(notRun, spec.id()));
      case RequestOutcome.Unknown unknown -> sendProblem(ctx, Problems.of(unknown, spec.id()));
    }
  }

  private void call(final Context ctx, final RequestId id, final AcceptedConfig config)
      throws IOException, InterruptedException {
    final RequestSpec spec = parser.readCall(ctx, id, config.declaration());
    final ByteString.Output body = ByteString.newOutput();
    final RequestOutcome outcome = driver.run(spec, emit -> emit.part().payload().writeTo(body));
    switch (outcome) {
      case RequestOutcome.Ran ran -> {
        ctx.status(ran.summary().httpStatus())
            .header(Headers.REQUEST, id.toString())
            .header(Headers.RUN_STATE, "ran")
            .header("Idempotent-Replayed", Boolean.toString(ran.summary().replayed()))
            .result(body.toByteString().toByteArray());
        if (!ran.summary().contentType().isEmpty()) {
          ctx.contentType(ran.summary().contentType());
        }
      }
      case RequestOutcome.NotRun notRun -> sendProblem(ctx, Problems.of(notRun, id));
      case RequestOutcome.Unknown unknown -> sendProblem(ctx, Problems.of(unknown, id));
    }
  }

  private void sendProblem(final Context ctx, final Problem problem) throws IOException {
    if (problem.retryAfterMs() != null) {
      final long seconds =
          (problem.retryAfterMs() + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND;
      ctx.header("Retry-After", Long.toString(seconds));
    }
    ctx.status(problem.status())
        .header(Headers.REQUEST, problem.request())
        .header(Headers.RUN_STATE, problem.runState())
        .contentType(Problem.MEDIA_TYPE)
        .result(mapper.writeValueAsBytes(problem));
  }

  /** Handles one request while it is counted as in flight. */
  @FunctionalInterface
  private interface Handler {

    /**
     * Handles a request.
     *
     * @param ctx the HTTP exchange
     * @param id the request's id
     * @param config the configuration in force
     * @throws Exception if the caller has closed its connection or the thread is interrupted
     */
    void handle(Context ctx, RequestId id, AcceptedConfig config) throws Exception;
  }
}
