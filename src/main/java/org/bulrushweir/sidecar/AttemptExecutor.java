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

/** Runs attempts at the endpoint, each on a virtual thread. */
final class AttemptExecutor implements AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The HTTP status of answers that an engine has generated. */
  private static final int STATUS_OK = 200;

  /** Runs each attempt on a thread of its own. */
  private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

  /** Who this process is. */
  private final PeerIdentity self;

  /** The service that the endpoint belongs to. */
  private final ServiceName service;

  /** The clock. */
  private final Clock clock;

  /** Calls the endpoint. */
  private final EngineClient engine;

  /** The platform's store, which keeps claims. */
  private final PlatformStore platform;

  /** Fetches caches from other endpoints. */
  private final CacheFetcher fetcher;

  /**
   * Creates an executor.
   *
   * @param self who this process is
   * @param service the service that the endpoint belongs to
   * @param clock the clock
   * @param engine calls the endpoint
   * @param platform the platform's store
   * @param fetcher fetches caches from other endpoints
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
   * Runs an attempt.
   *
   * @param run the attempt
   * @param listener hears how it goes
   */
  void execute(final AcceptedAttempt run, final AttemptListener listener) {
    threads.execute(() -> executeNow(run, listener));
  }

  private void executeNow(final AcceptedAttempt run, final AttemptListener listener) {
    try {
      if (run.dispatch().getKind() == Kind.CHAT) {
        executeChat(run, listener);
      } else if (run.dispatch().getIdempotencyKey().isEmpty()) {
        executeCall(run, listener);
      } else {
        claimedCall(run, listener).run();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      listener.ended(run, new AttemptEnd.Unknown("the sidecar was stopped"));
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("attempt %s failed", run.key());
      listener.ended(run, new AttemptEnd.Unknown("the sidecar failed: " + e.getMessage()));
    }
  }

  private void executeChat(final AcceptedAttempt run, final AttemptListener listener) {
    final EngineProtocol.ChatRequest request;
    try {
      request = ChatRequests.forEngine(run.dispatch(), run.offer().workClass().priority());
    } catch (IllegalArgumentException e) {
      listener.notRun(run, RefusalKind.BAD_REQUEST, e.getMessage());
      return;
    }
    bringCache(run, listener);
    final Call call = engine.newChatCall(request);
    run.call(call);
    switch (engine.executeChat(call, new TokenAppender(run, listener, clock))) {
      case EngineResult.Generated generated ->
          listener.ended(run, new AttemptEnd.Ran(run.buffer().size(), summary(generated)));
      case EngineResult.Refused refused ->
          listener.notRun(
              run,
              refused.modelMissing() ? RefusalKind.MODEL_NOT_LOADED : RefusalKind.ENDPOINT_DOWN,
              refused.detail());
      case EngineResult.Broken broken ->
          listener.ended(run, new AttemptEnd.Broken(run.buffer().size(), broken.detail()));
      case EngineResult.Answered answered ->
          throw new IllegalStateException("an engine does not answer like a service");
    }
  }

  /** Brings the cache of a chat here, if another endpoint has it and that is worth it. */
  private void bringCache(final AcceptedAttempt run, final AttemptListener listener) {
    final Dispatch dispatch = run.dispatch();
    final String holder = dispatch.getCacheAt();
    if (!Identifiers.isValid(holder)
        || holder.equals(self.node().value())
        || !CacheTransferPolicy.isWorthwhile(dispatch.getPromptTokens())) {
      return;
    }
    final Optional<CacheTransfer> transfer =
        fetcher.fetch(new EndpointId(holder), dispatch.getChat());
    if (transfer.isPresent() && importNow(transfer.get())) {
      listener.cacheBrought(dispatch.getChat(), transfer.get().getTokens());
    }
  }

  private boolean importNow(final CacheTransfer transfer) {
    return engine.importCache(
        CacheHandover.cacheKey(transfer.getChat()), transfer.getContent().toByteArray());
  }

  /**
   * Reads the cache of a chat out of the engine.
   *
   * @param chat the chat's hash
   * @param tokens how many tokens it has
   * @param done takes the cache, with zero tokens if the engine does not have it
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

  private EngineResult callService(final AcceptedAttempt run) {
    final Dispatch dispatch = run.dispatch();
    final Call call =
        engine.newServiceCall(
            dispatch.getMethod(),
            dispatch.getPath(),
            dispatch.getContentType(),
            dispatch.getBody().toByteArray());
    run.call(call);
    return engine.executeServiceCall(call);
  }

  private void executeCall(final AcceptedAttempt run, final AttemptListener listener) {
    switch (callService(run)) {
      case EngineResult.Answered answered ->
          endCall(
              run,
              new ClaimOutcome(answered.httpStatus(), answered.contentType(), answered.body()),
              false,
              listener);
      case EngineResult.Refused refused ->
          listener.notRun(run, RefusalKind.ENDPOINT_DOWN, refused.detail());
      case EngineResult.Broken broken ->
          listener.ended(run, new AttemptEnd.Unknown(broken.detail()));
      case EngineResult.Generated generated ->
          throw new IllegalStateException("a plain service does not generate tokens");
    }
  }

  private static void endCall(
      final AcceptedAttempt run,
      final ClaimOutcome outcome,
      final boolean replayed,
      final AttemptListener listener) {
    run.buffer().append(new AnswerPart(ByteString.copyFrom(outcome.body()), 0));
    final AnswerSummary summary =
        new AnswerSummary(outcome.httpStatus(), outcome.contentType(), 0, 0, 0, "", replayed);
    listener.ended(run, new AttemptEnd.Ran(1, summary));
  }

  private ClaimExecutor claimedCall(final AcceptedAttempt run, final AttemptListener listener) {
    final Dispatch dispatch = run.dispatch();
    final ClaimRow row =
        new ClaimRow(
            UUID.randomUUID().toString(),
            bodyDigest(dispatch),
            self.node().value(),
            self.incarnation().value(),
            ClaimState.CLAIMED,
            null);
    final ClaimMachine machine = new ClaimMachine(row, run.offer().startByMs());
    final ClaimStore store = new ClaimStore(platform, claimKey(dispatch));
    return new ClaimExecutor(
        machine, store, clock, () -> callService(run), new ClaimListener(run, listener));
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
   * Brings the cache of a chat to the engine.
   *
   * @param transfer the cache
   * @param done is run once the engine has taken it
   */
  void importCache(final CacheTransfer transfer, final Runnable done) {
    threads.execute(
        () -> {
          if (importNow(transfer)) {
            done.run();
          }
        });
  }

  @Override
  public void close() {
    threads.shutdownNow();
  }

  /** Appends tokens to the buffer of a run, and measures the time between them. */
  private static final class TokenAppender implements EngineListener {

    private final AcceptedAttempt run;
    private final AttemptListener listener;
    private final Clock clock;
    private long lastMs;

    private TokenAppender(
        final AcceptedAttempt run, final AttemptListener listener, final Clock clock) {
      this.run = run;
      this.listener = listener;
      this.clock = clock;
    }

    @Override
    public void onToken(final String text) {
      final long nowMs = clock.nowMs();
      listener.token(run, lastMs == 0 ? 0 : Math.max(1, nowMs - lastMs));
      lastMs = nowMs;
      run.buffer().append(new AnswerPart(ByteString.copyFromUtf8(text), 1));
    }
  }

  /**
   * Passes the end of a claimed call on.
   *
   * @param run the run
   * @param listener hears how it went
   */
  private record ClaimListener(AcceptedAttempt run, AttemptListener listener)
      implements ClaimExecutor.Listener {

    @Override
    public void ran(final ClaimOutcome outcome, final boolean replayed) {
      endCall(run, outcome, replayed, listener);
    }

    @Override
    public void notRun(final RefusalKind kind, final String detail) {
      listener.notRun(run, kind, detail);
    }

    @Override
    public void unknown(final String detail) {
      listener.ended(run, new AttemptEnd.Unknown(detail));
    }
  }
}
