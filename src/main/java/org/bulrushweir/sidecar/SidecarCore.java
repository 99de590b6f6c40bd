package org.bulrushweir.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bulrushweir.admission.EndpointGate;
import org.bulrushweir.admission.Offer;
import org.bulrushweir.affinity.ChatLocation;
import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.Identifiers;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.api.RequestId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.configuration.AcceptedConfig;
import org.bulrushweir.declaration.ServiceDeclaration;
import org.bulrushweir.delivery.RefusalKind;
import org.bulrushweir.node.FleetService;
import org.bulrushweir.timeline.EventKind;
import org.bulrushweir.timeline.EventLog;
import org.bulrushweir.timeline.EventSubject;
import org.bulrushweir.wire.PeerChannel;
import org.bulrushweir.wire.PeerListener;
import org.bulrushweir.wire.generated.CacheTransfer;
import org.bulrushweir.wire.generated.Cancel;
import org.bulrushweir.wire.generated.ChatMoved;
import org.bulrushweir.wire.generated.Dispatch;
import org.bulrushweir.wire.generated.DrainResult;
import org.bulrushweir.wire.generated.Envelope;
import org.bulrushweir.wire.generated.Resume;

/** Takes the messages that concern one endpoint and puts configurations in force for it. */
public final class SidecarCore implements PeerListener, AutoCloseable {

  /** How long an attempt waits for the configuration that it came under, in milliseconds. */
  private static final long CONFIG_WAIT_MS = 500;

  /** The attempts that wait for a configuration. */
  private final List<DeferredDispatch> deferred = new ArrayList<>();

  /** Tells which connection of a router counts. */
  private final NewestConnections connections = new NewestConnections();

  /** The endpoint. */
  private final EndpointId endpoint;

  /** The service that the endpoint belongs to. */
  private final ServiceName serviceName;

  /** The clock. */
  private final Clock clock;

  /** Decides what is accepted and what runs next; guarded by the manager. */
  private final EndpointGate gate;

  /** Runs the attempts. */
  private final AttemptManager attempts;

  /** Brings caches to the engine. */
  private final AttemptExecutor executor;

  /** What this process knows of the fleet. */
  private final FleetService fleet;

  /** The events of this process. */
  private final EventLog events;

  /** The configuration in force, null before the first one. */
  private AcceptedConfig config;

  /** Whether an operator has asked that the endpoint be drained, or the process is stopping. */
  private boolean drainRequested;

  /** Whether the operators' text says that the endpoint shall be drained. */
  private boolean drainDeclared;

  /**
   * Creates the core of a sidecar.
   *
   * @param endpoint the endpoint
   * @param serviceName the service that the endpoint belongs to
   * @param clock the clock
   * @param gate decides what is accepted and what runs next
   * @param attempts runs the attempts
   * @param executor brings caches to the engine
   * @param fleet what this process knows of the fleet
   * @param events the events of this process
   */
  SidecarCore(
      final EndpointId endpoint,
      final ServiceName serviceName,
      final Clock clock,
      final EndpointGate gate,
      final AttemptManager attempts,
      final AttemptExecutor executor,
      final FleetService fleet,
      final EventLog events) {
    this.endpoint = endpoint;
    this.serviceName = serviceName;
    this.clock = clock;
    this.gate = gate;
    this.attempts = attempts;
    this.executor = executor;
    this.fleet = fleet;
    this.events = events;
  }

  /**
   * Puts a configuration in force.
   *
   * @param newConfig the configuration
   */
  public synchronized void reconfigure(final AcceptedConfig newConfig) {
    config = newConfig;
    final ServiceDeclaration service = newConfig.declaration().services().get(serviceName);
    if (service != null) {
      drainDeclared = service.drained().contains(endpoint);
      updateLeaving();
      synchronized (attempts) {
        gate.reconfigure(AdmissionSettingsReader.read(newConfig.declaration(), service));
      }
    }
    dispatchDeferred();
    attempts.pump();
  }

  /** Refuses all new work until an operator's text or the process's end says otherwise. */
  public synchronized void startDrain() {
    drainRequested = true;
    updateLeaving();
  }

  private void updateLeaving() {
    final boolean leaving = drainRequested || drainDeclared;
    if (leaving == isLeaving()) {
      return;
    }
    synchronized (attempts) {
      gate.setLeaving(leaving);
    }
    events.add(
        leaving ? EventKind.ENDPOINT_LEAVING : EventKind.ENDPOINT_RETURNED,
        EventSubject.of(endpoint),
        inFlight() + " attempts in flight");
    attempts.report();
  }

  /**
   * Tells whether the endpoint takes no new work.
   *
   * @return true if it is leaving
   */
  public boolean isLeaving() {
    synchronized (attempts) {
      return gate.isLeaving();
    }
  }

  /**
   * Lists the chats that ran here last.
   *
   * @return the chats, the one used last first
   */
  List<CacheHandover.CachedChat> chatsHere() {
    final List<CacheHandover.CachedChat> chats = new ArrayList<>();
    synchronized (attempts) {
      for (final Long chat : gate.localChats()) {
        gate.chatLocation(chat)
            .ifPresent(location -> chats.add(new CacheHandover.CachedChat(chat, location)));
      }
    }
    return chats;
  }

  /**
   * Counts the attempts that are queued or running.
   *
   * @return the number of attempts
   */
  public int inFlight() {
    synchronized (attempts) {
      return gate.inFlight();
    }
  }

  /**
   * Returns the work that the endpoint carries.
   *
   * @return the load in work units
   */
  public long load() {
    synchronized (attempts) {
      return gate.load();
    }
  }

  @Override
  public void received(final PeerChannel channel, final Envelope envelope) {
    switch (envelope.getBodyCase()) {
      case DISPATCH, CANCEL, RESUME -> concernsAttempt(channel, envelope);
      case CHAT_MOVED -> moved(envelope.getChatMoved());
      case CACHE_REQUEST -> cacheRequested(channel, envelope.getCacheRequest().getChat());
      case CACHE_TRANSFER -> cacheTransferred(envelope.getCacheTransfer());
      case DRAIN_REQUEST -> drain(channel);
      default -> {
        // Other messages are for other listeners.
      }
    }
  }

  private synchronized void concernsAttempt(final PeerChannel channel, final Envelope envelope) {
    if (!connections.accept(channel)) {
      return;
    }
    switch (envelope.getBodyCase()) {
      case DISPATCH ->
          dispatchWhenReady(channel, envelope.getConfigNumber(), envelope.getDispatch());
      case CANCEL -> cancel(channel, envelope.getCancel());
      default -> resume(channel, envelope.getResume());
    }
  }

  @Override
  public synchronized void closed(final PeerChannel channel) {
    connections.closed(channel);
    attempts.connectionLost(channel);
  }

  private void drain(final PeerChannel channel) {
    startDrain();
    channel.send(
        Envelope.newBuilder().setDrainResult(DrainResult.newBuilder().setInFlight(inFlight())));
  }

  private void moved(final ChatMoved message) {
    if (message.getChat() == 0 || !Identifiers.isValid(message.getEndpoint())) {
      return;
    }
    synchronized (attempts) {
      gate.recordMove(message.getChat(), new EndpointId(message.getEndpoint()), clock.nowMs());
    }
  }

  private void cacheTransferred(final CacheTransfer transfer) {
    executor.importCache(
        transfer,
        () -> {
          synchronized (attempts) {
            gate.recordImport(transfer.getChat(), transfer.getTokens(), clock.nowMs());
          }
        });
  }

  private void cacheRequested(final PeerChannel channel, final long chat) {
    final int tokens;
    synchronized (attempts) {
      tokens =
          gate.chatLocation(chat)
              .filter(location -> location.endpoint().equals(endpoint))
              .map(ChatLocation::tokens)
              .orElse(0);
    }
    if (tokens == 0) {
      channel.send(
          Envelope.newBuilder().setCacheTransfer(CacheTransfer.newBuilder().setChat(chat)));
      return;
    }
    executor.exportCache(
        chat, tokens, transfer -> channel.send(Envelope.newBuilder().setCacheTransfer(transfer)));
  }

  /** Lets an attempt wait for the configuration under which its router has sent it. */
  private void dispatchWhenReady(
      final PeerChannel channel, final long configNumber, final Dispatch dispatch) {
    final DeferredDispatch waiting =
        new DeferredDispatch(channel, configNumber, dispatch, clock.nowMs() + CONFIG_WAIT_MS);
    if (isReady(waiting)) {
      dispatch(channel, dispatch);
      return;
    }
    deferred.add(waiting);
  }

  private boolean isReady(final DeferredDispatch waiting) {
    return config != null && config.number().value() >= waiting.configNumber();
  }

  /** Dispatches what has waited for the configuration, or refuses what has waited too long. */
  private void dispatchDeferred() {
    final long nowMs = clock.nowMs();
    final List<DeferredDispatch> waiting = new ArrayList<>(deferred);
    deferred.clear();
    for (final DeferredDispatch each : waiting) {
      if (isReady(each)) {
        dispatch(each.channel(), each.dispatch());
      } else if (nowMs < each.refuseAtMs()) {
        deferred.add(each);
      } else {
        attempts.refuse(
            each.channel(),
            key(each.dispatch()),
            RefusalKind.NOT_READY,
            "the endpoint does not have configuration " + each.configNumber() + " yet");
      }
    }
  }

  private static AttemptKey key(final Dispatch dispatch) {
    return new AttemptKey(new RequestId(dispatch.getRequest()), dispatch.getAttempt());
  }

  private void dispatch(final PeerChannel channel, final Dispatch dispatch) {
    dispatch.getReportsList().forEach(fleet::learn);
    final Optional<String> fault = fault(dispatch);
    if (fault.isPresent()) {
      attempts.refuse(channel, key(dispatch), RefusalKind.BAD_REQUEST, fault.get());
      return;
    }
    attempts.dispatch(channel, key(dispatch), dispatch, offer(dispatch));
  }

  private Optional<String> fault(final Dispatch dispatch) {
    if (!dispatch.getService().equals(serviceName.value())) {
      return Optional.of("this endpoint does not serve \"" + dispatch.getService() + '"');
    }
    if (!config.declaration().services().containsKey(serviceName)) {
      return Optional.of("service \"" + serviceName + "\" is not declared");
    }
    if (!config.declaration().classes().containsKey(dispatch.getWorkClass())) {
      return Optional.of("class \"" + dispatch.getWorkClass() + "\" is not declared");
    }
    if (!Identifiers.isValid(dispatch.getOrganisation())) {
      return Optional.of("\"" + dispatch.getOrganisation() + "\" is not an organisation");
    }
    return Optional.empty();
  }

  private Offer offer(final Dispatch dispatch) {
    final long nowMs = clock.nowMs();
    final long startWithinMs =
        dispatch.getFirstTokenMs() == 0 ? dispatch.getDeadlineMs() : dispatch.getFirstTokenMs();
    return new Offer(
        key(dispatch),
        new OrganisationId(dispatch.getOrganisation()),
        config.declaration().classes().get(dispatch.getWorkClass()),
        dispatch.getChat(),
        dispatch.getPromptTokens() + dispatch.getContinuationTokens(),
        dispatch.getExpectedOutputTokens() - dispatch.getContinuationTokens(),
        dispatch.getCacheExpected(),
        nowMs,
        nowMs + startWithinMs);
  }

  private void cancel(final PeerChannel channel, final Cancel cancel) {
    final AttemptKey key = new AttemptKey(new RequestId(cancel.getRequest()), cancel.getAttempt());
    deferred.removeIf(each -> key(each.dispatch()).equals(key));
    attempts.cancel(channel, key, cancel.getIncarnation(), cancel.getGraceMs());
  }

  private void resume(final PeerChannel channel, final Resume resume) {
    final AttemptKey key = new AttemptKey(new RequestId(resume.getRequest()), resume.getAttempt());
    deferred.removeIf(each -> key(each.dispatch()).equals(key));
    attempts.resume(
        channel, key, resume.getIncarnation(), resume.getOrganisation(), resume.getNextSequence());
  }

  /** Does what is due. */
  public synchronized void tick() {
    attempts.report();
    dispatchDeferred();
    attempts.tick();
  }

  @Override
  public void close() {
    attempts.close();
  }

  /**
   * Holds an attempt that waits for a configuration.
   *
   * @param channel the connection to its router
   * @param configNumber the number that it waits for
   * @param dispatch the attempt
   * @param refuseAtMs when it is refused, in milliseconds
   */
  private record DeferredDispatch(
      PeerChannel channel, long configNumber, Dispatch dispatch, long refuseAtMs) {}
}
