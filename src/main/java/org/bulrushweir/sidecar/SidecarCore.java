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

/**
 * Handles the messages of routers and peers about one endpoint, and applies configurations to it.
 */
public final class SidecarCore implements PeerListener, AutoCloseable {

  /**
   * Time that an attempt waits for the configuration under which its router sent it, in
   * milliseconds.
   */
  private static final long CONFIG_WAIT_MS = 500;

  /** The dispatches that wait for a configuration. */
  private final List<DeferredDispatch> deferred = new ArrayList<>();

  /** Tracks the newest connection of each router. */
  private final NewestConnections connections = new NewestConnections();

  private final EndpointId endpoint;

  /** The service that the endpoint belongs to. */
  private final ServiceName serviceName;

  private final Clock clock;

  /**
   * Decides which attempts are accepted and which runs next; guarded by the lock of {@link
   * AttemptManager}.
   */
  private final EndpointGate gate;

  /** Manages the attempts sent to the endpoint. */
  private final AttemptManager attempts;

  /** Imports caches into the engine and exports them. */
  private final AttemptExecutor executor;

  /** This process's view of the fleet. */
  private final FleetService fleet;

  /** The event log of this process. */
  private final EventLog events;

  /** The configuration in force; null before the first one. */
  private AcceptedConfig config;

  /** True if an operator has requested a drain of the endpoint or the process is stopping. */
  private boolean drainRequested;

  /** True if the configuration in force declares the endpoint as drained. */
  private boolean drainDeclared;

  /**
   * Creates the core of a sidecar.
   *
   * @param endpoint the endpoint
   * @param serviceName the service that the endpoint belongs to
   * @param clock the clock
   * @param gate decides which attempts are accepted and which runs next
   * @param attempts manages the attempts sent to the endpoint
   * @param executor imports caches into the engine and exports them
   * @param fleet this process's view of the fleet
   * @param events the event log of this process
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
   * Applies a configuration.
   *
   * @param newConfig the configuration that is now in force
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
    attempts.startQueued();
  }

  /**
   * Starts to drain the endpoint: new work is refused until the process ends, while accepted
   * attempts continue.
   */
  public synchronized void startDrain() {
    drainRequested = true;
    updateLeaving();
  }

  /**
   * Applies the leaving state. An endpoint is leaving while an operator, the configuration or the
   * stopping process drains it.
   */
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
   * Returns whether the endpoint is leaving and refuses new work.
   *
   * @return true if it is leaving
   */
  public boolean isLeaving() {
    synchronized (attempts) {
      return gate.isLeaving();
    }
  }

  /**
   * Returns the chats that last ran at this endpoint.
   *
   * @return the chats, the most recently used first
   */
  List<CacheHandover.CachedChat> localChats() {
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
   * Returns the number of attempts that are queued or running.
   *
   * @return the number of attempts
   */
  public int inFlight() {
    synchronized (attempts) {
      return gate.inFlight();
    }
  }

  /**
   * Returns the load of the endpoint, the work of its queued and running attempts.
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
      case DISPATCH, CANCEL, RESUME -> handleAttemptMessage(channel, envelope);
      case CHAT_MOVED -> recordMove(envelope.getChatMoved());
      case CACHE_REQUEST -> sendCache(channel, envelope.getCacheRequest().getChat());
      case CACHE_TRANSFER -> importCache(envelope.getCacheTransfer());
      case DRAIN_REQUEST -> handleDrainRequest(channel);
      default -> {
        // Other listeners handle the other messages.
      }
    }
  }

  private synchronized void handleAttemptMessage(
      final PeerChannel channel, final Envelope envelope) {
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

  private void handleDrainRequest(final PeerChannel channel) {
    startDrain();
    channel.send(
        Envelope.newBuilder().setDrainResult(DrainResult.newBuilder().setInFlight(inFlight())));
  }

  private void recordMove(final ChatMoved message) {
    if (message.getChat() == 0 || !Identifiers.isValid(message.getEndpoint())) {
      return;
    }
    synchronized (attempts) {
      gate.recordMove(message.getChat(), new EndpointId(message.getEndpoint()), clock.nowMs());
    }
  }

  private void importCache(final CacheTransfer transfer) {
    executor.importCache(
        transfer,
        () -> {
          synchronized (attempts) {
            gate.recordImport(transfer.getChat(), transfer.getTokens(), clock.nowMs());
          }
        });
  }

  private void sendCache(final PeerChannel channel, final long chat) {
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

  /**
   * Dispatches an attempt as soon as the configuration under which its router sent it is in force.
   */
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

  /**
   * Dispatches the attempts whose configuration is now in force, and refuses those that have waited
   * too long.
   */
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
    final Optional<String> fault = findFault(dispatch);
    if (fault.isPresent()) {
      attempts.refuse(channel, key(dispatch), RefusalKind.BAD_REQUEST, fault.get());
      return;
    }
    attempts.dispatch(channel, key(dispatch), dispatch, offer(dispatch));
  }

  private Optional<String> findFault(final Dispatch dispatch) {
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

  /**
   * Publishes a report, handles deferred dispatches and expired grace periods, and starts queued
   * attempts.
   */
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
   * Describes a dispatch that waits for a configuration.
   *
   * @param channel the connection to the sending router
   * @param configNumber the least number of the configuration that it waits for
   * @param dispatch the router's message
   * @param refuseAtMs the time at which it is refused, in milliseconds of the process's clock
   */
  private record DeferredDispatch(
      PeerChannel channel, long configNumber, Dispatch dispatch, long refuseAtMs) {}
}
