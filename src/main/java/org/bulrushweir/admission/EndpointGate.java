package org.bulrushweir.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushweir.affinity.ChatLocation;
import org.bulrushweir.affinity.ChatLocationMap;
import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.Incarnation;
import org.bulrushweir.delivery.RefusalKind;
import org.bulrushweir.membership.EndpointReport;
import org.bulrushweir.membership.EndpointTable;
import org.bulrushweir.membership.LoadCeiling;
import org.bulrushweir.membership.PaceMeter;
import org.bulrushweir.membership.PoolStatistics;

/**
 * Admission gate of one endpoint: decides which attempts are accepted and which one runs next, and
 * creates the load reports for peers. Every attempt at the endpoint passes through it, so its
 * limits hold even if routers have stale data. Not thread-safe.
 */
public final class EndpointGate {

  /**
   * The time after the sidecar's start during which peers without a report count as idle, in
   * milliseconds.
   */
  private static final long REPORT_WARM_UP_MS = EndpointTable.MEMBER_TIMEOUT_MS;

  /** The endpoint whose work is controlled. */
  private final EndpointId self;

  /** The incarnation of the endpoint's sidecar. */
  private final Incarnation incarnation;

  /** Manages the queue and the slots. */
  private final AdmissionController admission;

  /** The last known location of each chat. */
  private final ChatLocationMap locations;

  /** Measures the endpoint's generation time per token. */
  private final PaceMeter pace = new PaceMeter();

  /** Computes the allowed load. */
  private final LoadCeiling ceiling = new LoadCeiling();

  /** The hashes of the chats of queued and running attempts, by attempt. */
  private final Map<AttemptKey, Long> chats = new HashMap<>();

  /** When the sidecar started, in milliseconds of its clock. */
  private final long startMs;

  /**
   * When a token was last recorded while the engine was processing a prompt, in milliseconds of the
   * sidecar's clock.
   */
  private long lastTokenDuringPrefillMs;

  /** The settings in force. */
  private AdmissionSettings settings;

  /** The number of reports created in this incarnation, which orders them. */
  private int reportCount;

  /**
   * Creates the gate of an idle endpoint.
   *
   * @param self the endpoint whose work is controlled
   * @param incarnation the incarnation of the endpoint's sidecar
   * @param settings the initial settings
   * @param locations the last known location of each chat
   * @param nowMs the current time of the sidecar's clock, in milliseconds
   */
  public EndpointGate(
      final EndpointId self,
      final Incarnation incarnation,
      final AdmissionSettings settings,
      final ChatLocationMap locations,
      final long nowMs) {
    this.self = self;
    this.incarnation = incarnation;
    this.settings = settings;
    this.admission = new AdmissionController(settings);
    this.locations = locations;
    this.startMs = nowMs;
  }

  /**
   * Replaces the settings.
   *
   * @param newSettings the new settings
   */
  public void reconfigure(final AdmissionSettings newSettings) {
    settings = newSettings;
    admission.reconfigure(newSettings);
  }

  /**
   * Sets whether the endpoint is draining.
   *
   * @param leaving true to refuse all new attempts, false to accept them again
   */
  public void setLeaving(final boolean leaving) {
    admission.setLeaving(leaving);
  }

  /**
   * Returns whether the endpoint is draining.
   *
   * @return true if all new attempts are refused
   */
  public boolean isLeaving() {
    return admission.isLeaving();
  }

  /**
   * Returns the number of queued and running attempts.
   *
   * @return the number of attempts
   */
  public int inFlight() {
    return admission.inFlight();
  }

  /**
   * Returns the endpoint's load: the estimated remaining work of all queued and running attempts.
   *
   * @return the load in work units
   */
  public long load() {
    return admission.load();
  }

  /**
   * Returns the remaining work of the largest queued or running attempt.
   *
   * @return the work in work units, zero if there is no attempt
   */
  public long largestWork() {
    return admission.largestWork();
  }

  /**
   * Accepts an attempt into the queue or refuses it.
   *
   * @param offer the attempt
   * @param pool the load statistics of the endpoint's pool, the endpoint itself included
   * @return the decision; a refusal has the reason, the time after which a retry may succeed, and
   *     what is known about the location of the chat's KV cache
   */
  public AdmissionDecision offer(final Offer offer, final PoolStatistics pool) {
    final Optional<ChatLocation> location =
        offer.chat() == 0 ? Optional.empty() : locations.find(offer.chat());
    final Optional<EndpointId> redirectTarget = redirectTarget(offer, location);
    if (redirectTarget.isPresent() && !admission.isLeaving()) {
      return new AdmissionDecision.Refused(RefusalKind.MOVED, 0, redirectTarget.get(), 0);
    }
    final WorkItem item =
        new WorkItem(
            offer.key(),
            offer.organisation(),
            offer.workClass(),
            promptCost(offer, location),
            outputCost(offer),
            offer.arrivedMs(),
            offer.startByMs());
    final AdmissionDecision decision = admission.offer(item, allowedLoad(pool, offer.arrivedMs()));
    return switch (decision) {
      case AdmissionDecision.Admitted admitted -> {
        if (offer.chat() != 0) {
          chats.put(offer.key(), offer.chat());
        }
        yield admitted;
      }
      case AdmissionDecision.Refused refused ->
          new AdmissionDecision.Refused(
              refused.kind(),
              refused.retryAfterMs(),
              null,
              location.filter(this::isLocal).map(ChatLocation::tokens).orElse(0));
    };
  }

  /**
   * Returns the other endpoint that last ran the chat or received its KV cache, if the attempt
   * should be redirected to it. Only first attempts are redirected, and only if their KV cache is
   * not expected here.
   */
  private Optional<EndpointId> redirectTarget(
      final Offer offer, final Optional<ChatLocation> location) {
    if (!offer.isFirstAttempt() || offer.cacheExpected()) {
      return Optional.empty();
    }
    return location.map(ChatLocation::endpoint).filter(endpoint -> !endpoint.equals(self));
  }

  private boolean isLocal(final ChatLocation location) {
    return location.endpoint().equals(self);
  }

  private static long outputCost(final Offer offer) {
    return offer.chat() == 0
        ? WorkEstimator.SERVICE_CALL_UNITS
        : WorkEstimator.output(offer.outputTokens());
  }

  private long promptCost(final Offer offer, final Optional<ChatLocation> location) {
    final int cached =
        location
            .filter(this::isLocal)
            .map(ChatLocation::tokens)
            .orElse(offer.cacheExpected() ? offer.promptTokens() : 0);
    return WorkEstimator.prompt(offer.promptTokens(), cached);
  }

  /**
   * Returns the allowed load, in work units. For {@link #REPORT_WARM_UP_MS} after the sidecar's
   * start, peers without a report count as idle; after that they are left out.
   */
  private double allowedLoad(final PoolStatistics pool, final long nowMs) {
    if (Double.isInfinite(settings.loadMultiple())) {
      return Double.POSITIVE_INFINITY;
    }
    ceiling.updateWeight(
        pace.paceMicros(isGeneratingOnly(), nowMs), pool.medianPaceMicros(), nowMs);
    final boolean warmingUp = nowMs - startMs < REPORT_WARM_UP_MS;
    return ceiling.allowedLoad(
        settings.loadMultiple(), warmingUp ? pool.withUnreportedAsIdle() : pool);
  }

  /**
   * Moves the next attempt from the queue to the running ones, if a slot is free for it.
   *
   * @param nowMs the current time of the sidecar's clock, in milliseconds
   * @return the attempt to start, empty if none is queued or no slot is free for those that are
   */
  public Optional<WorkItem> startNext(final long nowMs) {
    return admission.startNext(nowMs);
  }

  /**
   * Records that a running attempt has generated a token. Intervals during which the engine
   * processed a prompt are left out of the measured time per token, since prefill delays
   * generation.
   *
   * @param key the attempt
   * @param intervalMs the time since the answer's previous token, in milliseconds, zero for the
   *     first token
   * @param nowMs the current time of the sidecar's clock, in milliseconds
   */
  public void recordToken(final AttemptKey key, final double intervalMs, final long nowMs) {
    if (admission.isPrefilling()) {
      lastTokenDuringPrefillMs = nowMs;
    }
    admission.recordToken(key, intervalMs, nowMs);
    if (intervalMs > 0 && nowMs - intervalMs > lastTokenDuringPrefillMs) {
      pace.recordInterval(intervalMs, nowMs);
    } else {
      pace.recordTokenTime(nowMs);
    }
  }

  /**
   * Records that a running attempt has ended, and frees its slot. No slot is freed if the attempt
   * is not running.
   *
   * @param key the attempt
   * @param cachedTokens the number of its chat's tokens in the endpoint's KV cache now, zero if
   *     none are known to be there
   * @param nowMs the current time of the sidecar's clock, in milliseconds
   */
  public void finish(final AttemptKey key, final int cachedTokens, final long nowMs) {
    final Long chat = chats.remove(key);
    if (chat != null && cachedTokens > 0) {
      locations.put(chat, new ChatLocation(self, cachedTokens, nowMs));
    }
    admission.finish(key, nowMs);
  }

  /**
   * Removes an attempt from the queue.
   *
   * @param key the attempt
   * @return true if it was queued, so that it will not run
   */
  public boolean cancelQueued(final AttemptKey key) {
    chats.remove(key);
    return admission.cancelQueued(key);
  }

  /**
   * Removes from the queue the attempts whose first-token deadline has passed.
   *
   * @param nowMs the current time of the sidecar's clock, in milliseconds
   * @return the removed attempts, which will not run, empty if there are none
   */
  public List<WorkItem> expire(final long nowMs) {
    final List<WorkItem> expired = admission.expire(nowMs);
    expired.forEach(item -> chats.remove(item.key()));
    return expired;
  }

  /**
   * Records that a chat which the hash ring assigns to this endpoint ran at another one.
   *
   * @param chat the chat's hash
   * @param endpoint the endpoint at which it ran
   * @param nowMs the current time of the sidecar's clock, in milliseconds
   */
  public void recordMove(final long chat, final EndpointId endpoint, final long nowMs) {
    locations.put(chat, new ChatLocation(endpoint, 0, nowMs));
  }

  /**
   * Records that the KV cache of a chat was transferred to this endpoint.
   *
   * @param chat the chat's hash
   * @param tokens the number of cached tokens
   * @param nowMs the current time of the sidecar's clock, in milliseconds
   */
  public void recordImport(final long chat, final int tokens, final long nowMs) {
    locations.put(chat, new ChatLocation(self, tokens, nowMs));
  }

  /**
   * Returns the chats whose last known location is this endpoint.
   *
   * @return the hashes of the chats, the most recently set first, empty if there are none
   */
  public List<Long> localChats() {
    return locations.chatsAt(self);
  }

  /**
   * Returns the last known location of a chat.
   *
   * @param chat the chat's hash
   * @return the location, empty if none is known
   */
  public Optional<ChatLocation> chatLocation(final long chat) {
    return locations.find(chat);
  }

  /**
   * Creates a load report for peers.
   *
   * @param nowMs the current time of the sidecar's clock, in milliseconds
   * @return the report
   */
  public EndpointReport report(final long nowMs) {
    reportCount++;
    return new EndpointReport(
        EndpointTable.key(self),
        incarnation,
        reportCount,
        admission.isLeaving(),
        admission.load(),
        pace.paceMicros(isGeneratingOnly(), nowMs));
  }

  private boolean isGeneratingOnly() {
    return admission.isRunning() && !admission.isPrefilling();
  }
}
