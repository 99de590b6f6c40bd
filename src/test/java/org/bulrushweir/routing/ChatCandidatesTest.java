package org.bulrushweir.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.membership.EndpointTable;
import org.junit.jupiter.api.Test;

/** Tests the order in which endpoints are proposed for the requests of a chat. */
class ChatCandidatesTest {

  private static final long CHAT = 4_711;

  private final List<EndpointView> views = new ArrayList<>();

  private static EndpointView view(final int number, final long load) {
    return view(number, load, false, 20_000, Long.MAX_VALUE);
  }

  private static EndpointView view(
      final int number,
      final long load,
      final boolean suspect,
      final int paceMicros,
      final long uptimeMs) {
    final EndpointId id = new EndpointId("engine-" + number);
    return new EndpointView(id, EndpointTable.key(id), uptimeMs, suspect, load, 100, paceMicros);
  }

  private void addEndpoints(final int count) {
    for (int number = 1; number <= count; number++) {
      views.add(view(number, 100L * number));
    }
  }

  private static EndpointId id(final int number) {
    return new EndpointId("engine-" + number);
  }

  @Test
  void leastLoadedEndpointIsProposedAgainWhenAllHaveRefused() {
    addEndpoints(2);
    final ChatCandidates candidates = new ChatCandidates(CHAT, null, () -> EndpointPool.of(views));
    final Set<EndpointId> tried = new HashSet<>();
    for (int count = 0; count < 2; count++) {
      tried.add(candidates.next(tried, null).orElseThrow());
    }
    assertEquals(2, tried.size());
    assertEquals(Optional.of(id(1)), candidates.next(tried, null));
    assertEquals(Optional.of(id(1)), candidates.next(tried, null));
    assertEquals(Optional.empty(), candidates.next(tried, null));
  }

  @Test
  void hintedEndpointIsProposedFirst() {
    addEndpoints(5);
    final EndpointId owner = EndpointPool.of(views).ringOwner(CHAT).orElseThrow();
    final EndpointId other = owner.equals(id(1)) ? id(2) : id(1);
    assertEquals(
        Optional.of(other),
        new ChatCandidates(CHAT, other, () -> EndpointPool.of(views)).next(Set.of(), null));
  }

  @Test
  void suspectAndSlowEndpointsAreProposedLast() {
    addEndpoints(3);
    final EndpointId owner = EndpointPool.of(views).ringOwner(CHAT).orElseThrow();
    views.replaceAll(
        view ->
            view.id().equals(owner)
                ? view(Integer.parseInt(owner.value().substring(7)), 0, true, 20_000, 0)
                : view);
    assertNotEquals(
        Optional.of(owner),
        new ChatCandidates(CHAT, owner, () -> EndpointPool.of(views)).next(Set.of(), null));
    views.replaceAll(
        view ->
            view.id().equals(owner)
                ? view(Integer.parseInt(owner.value().substring(7)), 0, false, 90_000, 0)
                : view);
    assertNotEquals(
        Optional.of(owner),
        new ChatCandidates(CHAT, owner, () -> EndpointPool.of(views)).next(Set.of(), null));
  }

  @Test
  void removedEndpointMovesOnlyItsOwnChats() {
    addEndpoints(10);
    final List<EndpointView> without =
        views.stream().filter(view -> !view.id().equals(id(4))).toList();
    final SplittableRandom random = new SplittableRandom(1);
    int moved = 0;
    for (int count = 0; count < 1_000; count++) {
      final long chat = random.nextLong();
      final EndpointId before = EndpointPool.of(views).ringOwner(chat).orElseThrow();
      final EndpointId after = EndpointPool.of(without).ringOwner(chat).orElseThrow();
      if (!before.equals(after)) {
        assertEquals(id(4), before);
        moved++;
      }
    }
    assertTrue(moved > 50 && moved < 150, "moved " + moved);
  }

  @Test
  void cacheIsExpectedAtThePreviousOwnerIfTheOwnerIsNew() {
    for (int number = 1; number <= 4; number++) {
      views.add(view(number, 0, false, 0, 3_600_000));
    }
    final EndpointId previousOwner = EndpointPool.of(views).ringOwner(CHAT).orElseThrow();
    int number = 5;
    while (EndpointPool.of(views).ringOwner(CHAT).orElseThrow().equals(previousOwner)) {
      views.add(view(number, 0, false, 0, 5_000));
      number++;
    }
    final EndpointId owner = EndpointPool.of(views).ringOwner(CHAT).orElseThrow();
    final ChatCandidates candidates = new ChatCandidates(CHAT, null, () -> EndpointPool.of(views));
    assertEquals(Optional.of(previousOwner), candidates.cacheAt(owner));
    assertEquals(Optional.empty(), candidates.cacheAt(previousOwner));
  }
}
