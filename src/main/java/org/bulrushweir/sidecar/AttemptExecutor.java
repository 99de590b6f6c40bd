package org.bulrushweir.sidecar;

import com.google.common.flogger.FluentLogger;
import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import okhttp3.Call;
import org.bulrushweir.affinity.CacheTransferPolicy;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.Identifiers;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.delivery.AnswerPart;
import org.bulrushweir.delivery.AnswerSummary;
import org.bulrushweir.delivery.AttemptEnd;
import org.bulrushweir.delivery.RefusalKind;
import org.bulrushweir.engine.EngineClient;
import org.bulrushweir.engine.EngineListener;
import org.bulrushweir.engine.EngineProtocol;
import org.bulrushweir.engine.EngineResult;
import org.bulrushweir.runonce.ClaimMachine;
import org.bulrushweir.runonce.ClaimOutcome;
import org.bulrushweir.runonce.ClaimRow;
import org.bulrushweir.runonce.ClaimState;
import org.bulrushweir.store.PlatformStore;
import org.bulrushweir.wire.PeerIdentity;
import org.bulrushweir.wire.generated.CacheTransfer;
import org.bulrushweir.wire.generated.Dispatch;
import org.bulrushweir.wire.generated.Kind;

/**
 * Runs accepted attempts at the endpoint and imports and exports KV caches, each task on its own
 * virtual thread.
 */
final class AttemptExecutor implements AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** HTTP status of every answer that an engine has generated. */
  private static final int STATUS_OK = 200;

  /** Runs each attempt on a virtual thread of its own. */
  private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

  /** The identity of this process. */
  private final PeerIdentity self;

  /** The service that the endpoint belongs to. */
  private final ServiceName service;

  private final Clock clock;

  /** The client of the endpoint. */
  private final EngineClient engine;

  /** The platform's store, which holds the claims. */
  private final PlatformStore platform;

  /** Fetches KV caches from other endpoints. */
  private final CacheFetcher fetcher;

  /**
   * Creates an executor.
   *
   * @param self the identity of this process
   * @param service the service that the endpoint belongs to
   * @param clock the clock
   * @param engine the client of the endpoint
   * @param platform the platform's store
   * @param fetcher fetches KV caches from other endpoints
   */
  AttemptExecutor(
      final PeerIdentity self,
      final ServiceName service,
      final Clock clock,
      final EngineClient engine,
      final PlatformStore platform,
      final CacheFetcher fetcher) {
    this.self = self;
    this.service = service;
    this.clock = clock;
    this.engine = engine;
    this.platform = platform;
    this.fetcher = fetcher;
  }

  /**
   * Starts an attempt on a thread of its own.
   *
   * @param attempt the attempt
   * @param listener is notified of the progress and the end of the attempt
   */
  void execute(final AcceptedAttempt attempt, final AttemptListener listener) {
    threads.execute(() -> executeBlocking(attempt, listener));
  }

  private void executeBlocking(final AcceptedAttempt attempt, final AttemptListener listener) {
    try {
      if (attempt.dispatch().getKind() == Kind.CHAT) {
        executeChat(attempt, listener);
      } else if (attempt.dispatch().getIdempotencyKey().isEmpty()) {
        executeServiceCall(attempt, listener);
      } else {
        claimExecutor(attempt, listener).run();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      listener.onEnd(attempt, new AttemptEnd.Unknown("the sidecar was stopped"));
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("attempt %s failed", attempt.key());
      listener.onEnd(attempt, new AttemptEnd.Unknown("the sidecar failed: " + e.getMessage()));
    }
  }

  private void executeChat(final AcceptedAttempt attempt, final AttemptListener listener) {
    final EngineProtocol.ChatRequest request;
    try {
      request = ChatRequests.forEngine(attempt.dispatch(), attempt.offer().workClass().priority());
    } catch (IllegalArgumentException e) {
      listener.onNotRun(attempt, RefusalKind.BAD_REQUEST, e.getMessage());
      return;
    }
    importRemoteCache(attempt, listener);
    final Call call = engine.newChatCall(request);
    attempt.call(call);
    switch (engine.executeChat(call, new TokenAppender(attempt, listener, clock))) {
      case EngineResult.Generated generated ->
          listener.onEnd(attempt, new AttemptEnd.Ran(attempt.buffer().size(), summary(generated)));
      case EngineResult.Refused refused ->
          listener.onNotRun(
              attempt,
              refused.modelMissing() ? RefusalKind.MODEL_NOT_LOADED : RefusalKind.ENDPOINT_DOWN,
              refused.detail());
      case EngineResult.Broken broken ->
          listener.onEnd(attempt, new AttemptEnd.Broken(attempt.buffer().size(), broken.detail()));
      case EngineResult.Answered answered ->
          throw new IllegalStateException("an engine does not answer like a service");
    }
  }

  /**
   * Imports the KV cache of a chat from the endpoint that holds it, if the prompt is long enough
   * for a transfer to be cheaper than prefilling it.
   */
  private void importRemoteCache(final AcceptedAttempt attempt, final AttemptListener listener) {
    final Dispatch dispatch = attempt.dispatch();
    final String cacheHolder = dispatch.getCacheAt();
    if (!Identifiers.isValid(cacheHolder)
        || cacheHolder.equals(self.node().value())
        || !CacheTransferPolicy.isWorthwhile(dispatch.getPromptTokens())) {
      return;
    }
    final Optional<CacheTransfer> transfer =
        fetcher.fetch(new EndpointId(cacheHolder), dispatch.getChat());
    if (transfer.isPresent() && importBlocking(transfer.get())) {
      listener.onCacheImported(dispatch.getChat(), transfer.get().getTokens());
    }
  }

  private boolean importBlocking(final CacheTransfer transfer) {
    return engine.importCache(
        CacheHandover.cacheKey(transfer.getChat()), transfer.getContent().toByteArray());
  }

  /**
   * Exports the cache of a chat from the engine, on a thread of its own.
   *
   * @param chat the chat's hash
   * @param tokens the number of tokens in the cache
   * @param done receives the cache, with zero tokens if the engine does not have it
   */
  void exportCache(final long chat, final int tokens, final Consumer<CacheTransfer> done) {
    threads.execute(
        () -> {
          final CacheTransfer.Builder transfer = CacheTransfer.newBuilder().setChat(chat);
          engine
              .exportCache(CacheHandover.cacheKey(chat))
              .ifPresent(
                  content -> transfer.setTokens(tokens).setContent(ByteString.copyFrom(content)));
          done.accept(transfer.build());
        });
  }

  private static AnswerSummary summary(final EngineResult.Generated generated) {
    final EngineProtocol.Usage usage = generated.usage();
    final EngineProtocol.PromptTokensDetails details = usage.promptTokensDetails();
    return new AnswerSummary(
        STATUS_OK,
        "",
        usage.promptTokens(),
        details == null ? 0 : details.cachedTokens(),
        usage.completionTokens(),
        generated.finishReason(),
        false);
  }

  private EngineResult callService(final AcceptedAttempt attempt) {
    final Dispatch dispatch = attempt.dispatch();
    final Call call =
        engine.newServiceCall(
            dispatch.getMethod(),
            dispatch.getPath(),
            dispatch.getContentType(),
            dispatch.getBody().toByteArray());
    attempt.call(call);
    return engine.executeServiceCall(call);
  }

  private void executeServiceCall(final AcceptedAttempt attempt, final AttemptListener listener) {
    switch (callService(attempt)) {
      case EngineResult.Answered answered ->
          endCall(
              attempt,
              new ClaimOutcome(answered.httpStatus(), answered.contentType(), answered.body()),
              false,
              listener);
      case EngineResult.Refused refused ->
          listener.onNotRun(attempt, RefusalKind.ENDPOINT_DOWN, refused.detail());
      case EngineResult.Broken broken ->
          listener.onEnd(attempt, new AttemptEnd.Unknown(broken.detail()));
      case EngineResult.Generated generated ->
          throw new IllegalStateException("a plain service does not generate tokens");
    }
  }

  private static void endCall(
      final AcceptedAttempt attempt,
      final ClaimOutcome outcome,
      final boolean replayed,
      final AttemptListener listener) {
    attempt.buffer().append(new AnswerPart(ByteString.copyFrom(outcome.body()), 0));
    final AnswerSummary summary =
        new AnswerSummary(outcome.httpStatus(), outcome.contentType(), 0, 0, 0, "", replayed);
    listener.onEnd(attempt, new AttemptEnd.Ran(1, summary));
  }

  private ClaimExecutor claimExecutor(
      final AcceptedAttempt attempt, final AttemptListener listener) {
    final Dispatch dispatch = attempt.dispatch();
    final ClaimRow row =
        new ClaimRow(
            UUID.randomUUID().toString(),
            bodyDigest(dispatch),
            self.node().value(),
            self.incarnation().value(),
            ClaimState.CLAIMED,
            null);
    final ClaimMachine machine = new ClaimMachine(row, attempt.offer().startByMs());
    final ClaimStore store = new ClaimStore(platform, claimKey(dispatch));
    return new ClaimExecutor(
        machine, store, clock, () -> callService(attempt), new ClaimListener(attempt, listener));
  }

  private static String bodyDigest(final Dispatch dispatch) {
    return Hashing.sha256()
        .newHasher()
        .putString(dispatch.getMethod() + ' ' + dispatch.getPath(), StandardCharsets.UTF_8)
        .putBytes(dispatch.getBody().toByteArray())
        .hash()
        .toString();
  }

  private String claimKey(final Dispatch dispatch) {
    final String digest =
        Hashing.sha256()
            .hashString(service + "\n" + dispatch.getIdempotencyKey(), StandardCharsets.UTF_8)
            .toString();
    return "claims/" + dispatch.getOrganisation() + "/" + digest;
  }

  /**
   * Imports the cache of a chat into the engine, on a thread of its own.
   *
   * @param transfer the cache as another sidecar sent it
   * @param done is run after the engine has imported the cache; not run if it refuses
   */
  void importCache(final CacheTransfer transfer, final Runnable done) {
    threads.execute(
        () -> {
          if (importBlocking(transfer)) {
            done.run();
          }
        });
  }

  @Override
  public void close() {
    threads.shutdownNow();
  }

  /** Appends tokens to the answer buffer of an attempt and measures the time between them. */
  private static final class TokenAppender implements EngineListener {

    private final AcceptedAttempt attempt;
    private final AttemptListener listener;
    private final Clock clock;
    private long lastMs;

    private TokenAppender(
        final AcceptedAttempt attempt, final AttemptListener listener, final Clock clock) {
      this.attempt = attempt;
      this.listener = listener;
      this.clock = clock;
    }

    @Override
    public void onToken(final String text) {
      final long nowMs = clock.nowMs();
      // Zero stands for the first token, which has no interval.
      listener.onToken(attempt, lastMs == 0 ? 0 : Math.max(1, nowMs - lastMs));
      lastMs = nowMs;
      attempt.buffer().append(new AnswerPart(ByteString.copyFromUtf8(text), 1));
    }
  }

  /**
   * Converts the result of a claimed call to the end of its attempt.
   *
   * @param attempt the attempt
   * @param listener is notified of the end of the attempt
   */
  private record ClaimListener(AcceptedAttempt attempt, AttemptListener listener)
      implements ClaimExecutor.Listener {

    @Override
    public void onRan(final ClaimOutcome outcome, final boolean replayed) {
      endCall(attempt, outcome, replayed, listener);
    }

    @Override
    public void onNotRun(final RefusalKind kind, final String detail) {
      listener.onNotRun(attempt, kind, detail);
    }

    @Override
    public void onUnknown(final String detail) {
      listener.onEnd(attempt, new AttemptEnd.Unknown(detail));
    }
  }
}
