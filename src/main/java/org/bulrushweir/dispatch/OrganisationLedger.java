package org.bulrushweir.dispatch;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushweir.api.OrganisationId;

/**
 * Tracks the work that each organisation has had done and has asked for recently at a service. The
 * organisation with the least work done, its peers' reports included, is served next while capacity
 * is scarce. Amounts decay, so that an organisation that was idle gains little by it.
 */
final class OrganisationLedger {

  /** The number of organisations that are tracked; the least recently used ones are dropped. */
  private static final int MAX_ORGANISATIONS = 256;

  /** The time constant of the decay, in milliseconds: some requests of a small organisation. */
  private static final double DECAY_MS = 5_000;

  /**
   * The part of its requests that is served to an organisation that asks for more than the others,
   * relative to that of all. Each must be served at least a quarter as often as all; shares are met
   * to about a tenth.
   */
  private static final double MIN_SERVED_SHARE = 0.3;

  /**
   * The largest multiple of an equal share that the rule above grants. It bounds what an
   * organisation can gain by asking again and again.
   */
  private static final double MAX_WEIGHT = 2;

  /** The period for which a mean over all organisations is used again, in milliseconds. */
  private static final long MEAN_VALID_MS = 100;

  private static final float LOAD_FACTOR = 0.75f;

  private final Map<Optional<OrganisationId>, Account> accounts =
      new LinkedHashMap<>(MAX_ORGANISATIONS, LOAD_FACTOR, true) {
        @Override
        protected boolean removeEldestEntry(
            final Map.Entry<Optional<OrganisationId>, Account> eldest) {
          return size() > MAX_ORGANISATIONS;
        }
      };

  private double meanAsked;
  private long meanAskedAtMs = -MEAN_VALID_MS;

  private Account account(final Optional<OrganisationId> organisation) {
    return accounts.computeIfAbsent(organisation, key -> new Account());
  }

  /** Returns an independent copy. */
  OrganisationLedger copy() {
    final OrganisationLedger copy = new OrganisationLedger();
    accounts.forEach((organisation, account) -> copy.accounts.put(organisation, account.copy()));
    copy.meanAsked = meanAsked;
    copy.meanAskedAtMs = meanAskedAtMs;
    return copy;
  }

  /**
   * Records that a request has arrived.
   *
   * @param organisation its organisation
   * @param work its work
   * @param nowMs the current time, in Unix milliseconds
   */
  void recordDemand(
      final Optional<OrganisationId> organisation, final double work, final long nowMs) {
    account(organisation).asked.add(work, nowMs);
  }

  /**
   * Records that a request is sent, or that its work turned out to differ.
   *
   * @param organisation its organisation
   * @param work its work, or the difference
   * @param nowMs the current time, in Unix milliseconds
   */
  void recordDone(
      final Optional<OrganisationId> organisation, final double work, final long nowMs) {
    account(organisation).done.add(work, nowMs);
  }

  /**
   * Returns the work done for an organisation recently.
   *
   * @param organisation the organisation
   * @param nowMs the current time, in Unix milliseconds
   * @return the decayed work
   */
  double done(final Optional<OrganisationId> organisation, final long nowMs) {
    final Account account = accounts.get(organisation);
    return account == null ? 0 : Math.max(0, account.done.at(nowMs));
  }

  /**
   * Returns the work that an organisation asks for.
   *
   * @param organisation the organisation
   * @param nowMs the current time, in Unix milliseconds
   * @return the work per millisecond
   */
  double askedPerMs(final Optional<OrganisationId> organisation, final long nowMs) {
    final Account account = accounts.get(organisation);
    return account == null ? 0 : account.asked.at(nowMs) / DECAY_MS;
  }

  /**
   * Returns the share of an organisation, as a multiple of an equal share.
   *
   * @param organisation the organisation
   * @param nowMs the current time, in Unix milliseconds
   * @return a number from 1 to {@link #MAX_WEIGHT}
   */
  double weight(final Optional<OrganisationId> organisation, final long nowMs) {
    final Account account = accounts.get(organisation);
    if (account == null) {
      return 1;
    }
    final double multiple = account.asked.at(nowMs) / Math.max(meanAsked(nowMs), Double.MIN_NORMAL);
    return Math.clamp(MIN_SERVED_SHARE * multiple, 1, MAX_WEIGHT);
  }

  /** Returns the mean of what the organisations have asked for, at most some moments old. */
  private double meanAsked(final long nowMs) {
    if (nowMs - meanAskedAtMs > MEAN_VALID_MS) {
      meanAskedAtMs = nowMs;
      meanAsked =
          accounts.values().stream()
              .mapToDouble(each -> each.asked.at(nowMs))
              .filter(asked -> asked >= 1)
              .average()
              .orElse(0);
    }
    return meanAsked;
  }

  /**
   * Returns the organisations that had the most work done.
   *
   * @param count the greatest number of organisations
   * @param nowMs the current time, in Unix milliseconds
   * @return their work by name, the most work first; requests without organisation are left out
   */
  List<Map.Entry<OrganisationId, Double>> largest(final int count, final long nowMs) {
    return accounts.entrySet().stream()
        .filter(entry -> entry.getKey().isPresent())
        .map(entry -> Map.entry(entry.getKey().get(), entry.getValue().done.at(nowMs)))
        .filter(entry -> entry.getValue() >= 1)
        .sorted(Comparator.comparing(entry -> -entry.getValue()))
        .limit(count)
        .toList();
  }

  int size() {
    return accounts.size();
  }

  /** The work of one organisation. */
  private static final class Account {
    private final DecayingSum asked;
    private final DecayingSum done;

    private Account() {
      this(new DecayingSum(DECAY_MS), new DecayingSum(DECAY_MS));
    }

    private Account(final DecayingSum asked, final DecayingSum done) {
      this.asked = asked;
      this.done = done;
    }

    private Account copy() {
      return new Account(asked.copy(), done.copy());
    }
  }
}
