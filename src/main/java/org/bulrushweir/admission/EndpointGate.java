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
 * Decides everything about the work of one endpoint: what is accepted, what runs next, what peers
 * are told. All requests for the endpoint pass it, so what it decides holds whatever routers
 * believe. Not safe for use by many threads.
 */
public final class EndpointGate {

  /** How long after its start an endpoint waits to hear of its peers, in milliseconds. */
  private static final long FIRST_REPORTS_MS = EndpointTable.MEMBER_TIMEOUT_MS;

  /** The endpoint. */
  private final EndpointId self;

  /** The life of the sidecar. */
  private final Incarnation incarnation;

  /** The queue and the slots. */
  private final AdmissionController admission;

  /** Where chats ran last. */
  private final ChatLocationMap locations;

  /** Measures the endpoint's time per token. */
  private final PaceMeter pace = new PaceMeter();

  /** Computes how much work the endpoint may carry. */
  private final LoadCeiling ceiling = new LoadCeiling();

  /** The chats of the attempts that are queued or running. */
  private final Map<AttemptKey, Long> chats = new HashMap<>();

  /** When the sidecar started, in milliseconds. */
  private final long startMs;

  /** When the engine was last seen reading a prompt, in milliseconds. */
  private long lastPromptMs;

  /** The settings. */
  private AdmissionSettings settings;

  /** How many reports were made. */
  private int reports;

  /**
   * Creates the gate of an idle endpoint.
   *
   * @param self the endpoint
   * @param incarnation the life of the sidecar
   * @param settings the settings
   * @param locations where chats ran last
   * @param nowMs the current time
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
   * Changes the settings.
   *
   * @param newSettings the settings from now on
   */
  public void reconfigure(final AdmissionSettings newSettings) {
    settings = newSettings;
    admission.reconfigure(newSettings);
  }

  /**
   * Says whether the endpoint takes new attempts.
   *
   * @param leaving true to refuse all new attempts from now on
   */
  public void setLeaving(final boolean leaving) {
    admission.setLeaving(leaving);
  }

  /**
   * Tells whether the endpoint is leaving.
   *
   * @return true if it takes no new attempts
   */
  public boolean isLeaving() {
    return admission.isLeaving();
  }

  /**
   * Counts the attempts that are queued or running.
   *
   * @return the number of attempts
   */
  public int inFlight() {
    return admission.inFlight();
  }

  /**
   * Returns the work that the endpoint carries.
   *
   * @return the load in work units
   */
  public long load() {
    return admission.load();
  }

  /**
   * Returns the work of the largest attempt that the endpoint carries.
   *
   * @return the work in work units, zero if the endpoint is idle
   */
  public long largestWork() {
    return admission.largestWork();
  }

  /**
   * Offers an attempt.
   *
   * @param offer the attempt
   * @param pool what is known of the endpoint's pool, with the endpoint itself
   * @return whether it is accepted
   */
  public AdmissionDecision offer(final Offer offer, final PoolStatistics pool) {
    final Optional<ChatLocation> location =
        offer.chat() == 0 ? Optional.empty() : locations.find(offer.chat());
    final Optional<EndpointId> elsewhere = elsewhere(offer, location);
    if (elsewhere.isPresent() && !admission.isLeaving()) {
      return new AdmissionDecision.Refused(RefusalKind.MOVED, 0, elsewhere.get(), 0);
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
              location.filter(this::isHere).map(ChatLocation::tokens).orElse(0));
    };
  }

  /** Finds the other endpoint that a chat has moved to, if it makes sense to send it there. */
  private Optional<EndpointId> elsewhere(final Offer offer, final Optional<ChatLocation> location) {
    if (!offer.isFirstAttempt() || offer.cacheExpected()) {
      return Optional.empty();
    }
    return location.map(ChatLocation::endpoint).filter(endpoint -> !endpoint.equals(self));
  }

  private boolean isHere(final ChatLocation location) {
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
            .filter(this::isHere)
            .map(ChatLocation::tokens)
            .orElse(offer.cacheExpected() ? offer.promptTokens() : 0);
    return WorkEstimator.prompt(offer.promptTokens(), cached);
  }

  /**
   * Computes how much work the endpoint may carry. In its first seconds, peers that it has not
   * heard of count as idle; later they count as gone.
   */
  private double allowedLoad(final PoolStatistics pool, final long nowMs) {
    if (Double.isInfinite(settings.loadMultiple())) {
      return Double.POSITIVE_INFINITY;
    }
    ceiling.updateWeight(
        pace.paceMicros(isGeneratingOnly(), nowMs), pool.medianPaceMicros(), nowMs);
    final boolean young = nowMs - startMs < FIRST_REPORTS_MS;
    return ceiling.allowedLoad(settings.loadMultiple(), young ? pool.withUnreportedAsIdle() : pool);
  }

  /**
   * Takes the attempt that is to run next, if a slot is free for it.
   *
   * @param nowMs the current time
   * @return the attempt, which counts as running from now on
   */
  public Optional<WorkItem> startNext(final long nowMs) {
    return admission.startNext(nowMs);
  }

  /**
   * Takes note of a token. Tokens that were generated while the engine read prompts say nothing
   * about its pace, since reading holds generation up.
   *
   * @param key the attempt
   * @param intervalMs how long it took since the one before it in the same answer, zero for the
   *     first one
   * @param nowMs the current time
   */
  public void recordToken(final AttemptKey key, final double intervalMs, final long nowMs) {
    if (admission.isReadingPrompts()) {
      lastPromptMs = nowMs;
    }
    admission.recordToken(key, intervalMs, nowMs);
    if (intervalMs > 0 && nowMs - intervalMs > lastPromptMs) {
      pace.recordInterval(intervalMs, nowMs);
    } else {
      pace.recordTokenTime(nowMs);
    }
  }

  /**
   * Takes note that a running attempt has ended.
   *
   * @param key the attempt
   * @param cachedTokens how many tokens of its chat the endpoint has in its cache now
   * @param nowMs the current time
   */
  public void finish(final AttemptKey key, final int cachedTokens, final long nowMs) {
    final Long chat = chats.remove(key);
    if (chat != null && cachedTokens > 0) {
      locations.put(chat, new ChatLocation(self, cachedTokens, nowMs));
    }
    admission.finish(key, nowMs);
  }

  /**
   * Takes an attempt out of the queue.
   *
   * @param key the attempt
   * @return true if it was queued and will not run
   */
  public boolean cancelQueued(final AttemptKey key) {
    chats.remove(key);
    return admission.cancelQueued(key);
  }

  /**
   * Takes out of the queue what can no longer start in time.
   *
   * @param nowMs the current time
   * @return the attempts, which will not run
   */
  public List<WorkItem> expire(final long nowMs) {
    final List<WorkItem> expired = admission.expire(nowMs);
    expired.forEach(item -> chats.remove(item.key()));
    return expired;
  }

  /**
   * Takes note that a chat whose home is here ran elsewhere.
   *
   * @param chat the chat's hash
   * @param endpoint where it ran
   * @param nowMs the current time
   */
  public void recordMove(final long chat, final EndpointId endpoint, final long nowMs) {
    locations.put(chat, new ChatLocation(endpoint, 0, nowMs));
  }

  /**
   * Takes note that the cache of a chat was brought here.
   *
   * @param chat the chat's hash
   * @param tokens how many tokens are cached
   * @param nowMs the current time
   */
  public void recordImport(final long chat, final int tokens, final long nowMs) {
    locations.put(chat, new ChatLocation(self, tokens, nowMs));
  }

  /**
   * Lists the chats that ran here last.
   *
   * @return the chats, the one used last first
   */
  public List<Long> localChats() {
    return locations.chatsAt(self);
  }

  /**
   * Tells where a chat ran last.
   *
   * @param chat the chat's hash
   * @return where, if it is remembered
   */
  public Optional<ChatLocation> chatLocation(final long chat) {
    return locations.find(chat);
  }

  /**
   * Makes a report for peers.
   *
   * @param nowMs the current time
   * @return the report
   */
  public EndpointReport report(final long nowMs) {
    reports++;
    return new EndpointReport(
        EndpointTable.key(self),
        incarnation,
        reports,
        admission.isLeaving(),
        admission.load(),
        pace.paceMicros(isGeneratingOnly(), nowMs));
  }

  private boolean isGeneratingOnly() {
    return admission.isRunning() && !admission.isReadingPrompts();
  }
}
