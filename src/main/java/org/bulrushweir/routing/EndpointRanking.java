package org.bulrushweir.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.bulrushweir.api.EndpointId;

/**
 * Ranks the endpoints that a request may try. Endpoints that most likely would refuse it or answer
 * late go to the back, but none is left out: the endpoint itself decides.
 */
public final class EndpointRanking {

  /** Up to which age a report of pace is worth acting upon, in milliseconds. */
  private static final long USEFUL_AGE_MS = 1_000;

  /** For how long after its start an endpoint is young, in milliseconds. */
  private static final long YOUNG_MS = 600_000;

  /** By how much longer an endpoint must have run to count as older, in milliseconds. */
  private static final long OLDER_BY_MS = 1_000;

  /** From which multiple of the median pace on an endpoint counts as slow. */
  private static final double SLOW_FACTOR = 2;

  private EndpointRanking() {}

  /** How likely an endpoint serves a request well; the lesser the better. */
  private enum Tier {
    GOOD,
    SLOW,
    SUSPECT
  }

  /**
   * Ranks endpoints for a chat. Within a tier, the chat's last endpoint goes first, then those that
   * rendezvous hashing assigns: an endpoint that joins or leaves moves only its own share of chats.
   *
   * @param chat the chat's hash
   * @param hint where the chat's last answer came from, null if unknown
   * @param views the endpoints
   * @return the endpoints, best first
   */
  public static List<EndpointId> forChat(
      final long chat, final EndpointId hint, final List<EndpointView> views) {
    final int medianPace = medianPace(views);
    final List<Ranked> ranked = new ArrayList<>(views.size());
    for (final EndpointView view : views) {
      final long score = view.id().equals(hint) ? Long.MAX_VALUE : score(chat, view.key());
      ranked.add(new Ranked(view.id(), tier(view, medianPace), score));
    }
    ranked.sort(
        Comparator.comparing(Ranked::tier)
            .thenComparing(Comparator.comparingLong(Ranked::score).reversed())
            .thenComparing(Ranked::id));
    return ranked.stream().map(Ranked::id).toList();
  }

  /**
   * Ranks endpoints for a chat that the endpoint with its cache does not take: those that carry the
   * least go first, among equals those that rendezvous hashing assigns.
   *
   * @param chat the chat's hash
   * @param views the endpoints
   * @return the endpoints, best first
   */
  public static List<EndpointId> byLoad(final long chat, final List<EndpointView> views) {
    final int medianPace = medianPace(views);
    final List<EndpointView> ordered = new ArrayList<>(views);
    ordered.sort(
        Comparator.comparing((EndpointView view) -> tier(view, medianPace))
            .thenComparingLong(EndpointView::load)
            .thenComparing(
                Comparator.comparingLong((EndpointView view) -> score(chat, view.key()))
                    .reversed()));
    return ordered.stream().map(EndpointView::id).toList();
  }

  /**
   * Finds the endpoint that rendezvous hashing assigns to a chat, whatever its state.
   *
   * @param chat the chat's hash
   * @param views the endpoints, at least one
   * @return the chat's home
   */
  public static EndpointId home(final long chat, final List<EndpointView> views) {
    EndpointView best = views.getFirst();
    long bestScore = Long.MIN_VALUE;
    for (final EndpointView view : views) {
      final long score = score(chat, view.key());
      if (score > bestScore) {
        best = view;
        bestScore = score;
      }
    }
    return best.id();
  }

  /**
   * Finds the endpoint that was the home of a chat before a young one joined.
   *
   * @param chat the chat's hash
   * @param endpoint the chat's home now
   * @param views the endpoints
   * @return the former home, empty if the present one is not young or the only one
   */
  public static Optional<EndpointId> formerHome(
      final long chat, final EndpointId endpoint, final List<EndpointView> views) {
    long lifeMs = Long.MAX_VALUE;
    for (final EndpointView view : views) {
      if (view.id().equals(endpoint)) {
        lifeMs = view.lifeMs();
      }
    }
    if (lifeMs >= YOUNG_MS) {
      return Optional.empty();
    }
    final List<EndpointView> older = new ArrayList<>();
    for (final EndpointView view : views) {
      if (view.lifeMs() > lifeMs + OLDER_BY_MS) {
        older.add(view);
      }
    }
    return older.isEmpty() ? Optional.empty() : Optional.of(home(chat, older));
  }

  /**
   * Ranks endpoints for a call that belongs to no chat: the less loaded of two random ones goes
   * first, the others follow at random.
   *
   * @param views the endpoints
   * @param random picks the endpoints
   * @return the endpoints, best first
   */
  public static List<EndpointId> forCall(
      final List<EndpointView> views, final RandomGenerator random) {
    final List<EndpointView> shuffled = new ArrayList<>(views);
    for (int index = shuffled.size() - 1; index > 0; index--) {
      Collections.swap(shuffled, index, random.nextInt(index + 1));
    }
    shuffled.sort(Comparator.comparing(view -> view.suspect() ? Tier.SUSPECT : Tier.GOOD));
    if (shuffled.size() > 1
        && !shuffled.get(1).suspect()
        && shuffled.get(1).load() < shuffled.get(0).load()) {
      Collections.swap(shuffled, 0, 1);
    }
    return shuffled.stream().map(EndpointView::id).toList();
  }

  private static Tier tier(final EndpointView view, final int medianPace) {
    if (view.suspect()) {
      return Tier.SUSPECT;
    }
    if (view.loadAgeMs() > USEFUL_AGE_MS) {
      return Tier.GOOD;
    }
    if (medianPace > 0 && view.paceMicros() > SLOW_FACTOR * medianPace) {
      return Tier.SLOW;
    }
    return Tier.GOOD;
  }

  private static int medianPace(final List<EndpointView> views) {
    final int[] paces = new int[views.size()];
    int count = 0;
    for (final EndpointView view : views) {
      if (view.paceMicros() > 0 && view.loadAgeMs() <= USEFUL_AGE_MS) {
        paces[count] = view.paceMicros();
        count++;
      }
    }
    Arrays.sort(paces, 0, count);
    return count == 0 ? 0 : paces[count / 2];
  }

  private static long score(final long chat, final long key) {
    return BitMixer.mix(chat ^ key) >>> 1;
  }

  /**
   * Holds an endpoint while it is ranked.
   *
   * @param id the endpoint
   * @param tier how likely it serves the request well
   * @param score its rendezvous score for the chat
   */
  private record Ranked(EndpointId id, Tier tier, long score) {}
}
