package org.bulrushweir.catalog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.junit.jupiter.api.Test;

/** Tests which endpoints are listed during and after outages of the store. */
class EndpointDirectoryTest {

  private static final ServiceName SERVICE = new ServiceName("assistant");
  private static final EndpointId E1 = new EndpointId("e1");
  private static final EndpointId E2 = new EndpointId("e2");

  private final EndpointDirectory directory = new EndpointDirectory();

  private static EndpointRecord entry(final EndpointId id) {
    return new EndpointRecord(id, SERVICE, "10.0.0.1", 80, new ZoneName("zone-1"), 8, false, 0);
  }

  private static EndpointRecord startedAt(final long startedAtMs, final int port) {
    return new EndpointRecord(
        E1, SERVICE, "10.0.0.1", port, new ZoneName("zone-1"), 8, false, startedAtMs);
  }

  @Test
  void registrationOfAnEarlierRunIsIgnored() {
    assertTrue(directory.put(startedAt(200, 81)));
    assertFalse(directory.put(startedAt(100, 80)));
    directory.replaceAll(List.of(startedAt(100, 80)), 0);
    assertEquals(81, directory.find(E1).orElseThrow().port());
    assertTrue(directory.put(startedAt(300, 82)));
    assertEquals(82, directory.find(E1).orElseThrow().port());
  }

  /** A write that was delayed by the store may bring back an endpoint that has left. */
  @Test
  void registrationOfAnEarlierRunDoesNotReturnAfterTheEndpointHasLeft() {
    directory.put(startedAt(200, 81));
    directory.remove(E1, 10_000);
    assertFalse(directory.put(startedAt(100, 80)));
    directory.replaceAll(List.of(startedAt(100, 80)), 11_000);
    assertEquals(0, count());
    assertTrue(directory.put(startedAt(200, 81)));
    assertEquals(1, count());
  }

  private boolean acceptsRequests() {
    return directory.find(E1).filter(found -> !found.draining()).isPresent();
  }

  @Test
  void runThatAnnouncesItsLeavingIsNotUsedAgain() {
    final EndpointRecord leaving = startedAt(100, 80);
    directory.put(leaving);
    assertTrue(directory.markLeaving(leaving));
    assertFalse(acceptsRequests());
    assertFalse(directory.markLeaving(leaving), "known already");
    directory.put(leaving);
    directory.replaceAll(List.of(leaving), 1_000);
    assertFalse(acceptsRequests(), "its registration still states that it is ready");
    directory.remove(E1, 10_000);
    assertFalse(directory.put(leaving));
    assertTrue(directory.put(startedAt(200, 81)));
    assertFalse(directory.markLeaving(leaving), "a late answer of the run that has ended");
    assertTrue(acceptsRequests());
  }

  private int count() {
    return directory.endpoints(SERVICE).size();
  }

  @Test
  void endpointThatDeregistersIsRemovedAtOnce() {
    directory.put(entry(E1));
    directory.put(entry(E2));
    directory.remove(E1, 10_000);
    assertEquals(1, count());
  }

  @Test
  void registrationsThatLapseDuringAnOutageAreKeptForTheGracePeriod() {
    directory.put(entry(E1));
    directory.put(entry(E2));
    directory.markStoreUnreachable(19_900);
    directory.markStoreReachable(20_000);
    directory.replaceAll(List.of(), 20_000);
    assertEquals(2, count());
    directory.put(entry(E2));
    directory.expire(20_000 + EndpointDirectory.LAPSE_GRACE_MS - 1);
    assertEquals(2, count());
    assertEquals(List.of(E1), directory.expire(20_000 + EndpointDirectory.LAPSE_GRACE_MS));
    assertEquals(1, count());
  }

  /** An endpoint that left 0.8 s after the end of an outage received a request 2.3 s later. */
  @Test
  void endpointThatLeavesAfterAnOutageIsRemovedWithinTwoSeconds() {
    directory.put(entry(E1));
    directory.markStoreUnreachable(19_900);
    directory.markStoreReachable(20_000);
    directory.remove(E1, 20_800);
    directory.expire(20_800 + EndpointDirectory.LATE_REMOVAL_DELAY_MS);
    assertEquals(0, count());
  }

  /**
   * A gateway that noticed the end of an outage a second late listed an endpoint 0.1 s too long.
   */
  @Test
  void timeRunsFromTheLastCallThatWasNotAnswered() {
    directory.put(entry(E1));
    directory.markStoreUnreachable(24_500);
    directory.markStoreReachable(25_440);
    directory.remove(E1, 25_440);
    directory.expire(27_399);
    assertEquals(1, count());
    directory.expire(27_400);
    assertEquals(0, count());
  }

  @Test
  void removalReportedSoonAfterAnOutageIsDelayed() {
    directory.put(entry(E1));
    directory.markStoreUnreachable(19_900);
    directory.markStoreReachable(20_000);
    directory.remove(E1, 21_000);
    assertEquals(1, count());
    directory.remove(E1, 30_000);
    assertEquals(0, count());
  }

  @Test
  void secondOutageRestartsTheGracePeriod() {
    directory.put(entry(E1));
    directory.markStoreUnreachable(19_900);
    directory.markStoreReachable(20_000);
    directory.remove(E1, 20_100);
    directory.markStoreUnreachable(24_900);
    directory.markStoreReachable(25_000);
    directory.expire(25_100);
    assertEquals(1, count());
    directory.expire(25_000 + EndpointDirectory.LAPSE_GRACE_MS);
    assertEquals(0, count());
  }

  @Test
  void equalRegistrationIsNotCountedAsChange() {
    directory.put(entry(E1));
    final long before = directory.changeCount();
    directory.put(entry(E1));
    assertEquals(before, directory.changeCount());
  }

  private static EndpointRecord draining(final EndpointId id) {
    return entry(id).asDraining();
  }

  private void removeAndRestore(final EndpointRecord... copy) {
    directory.remove(E1, 10_000);
    directory.markStoreUnreachable(19_900);
    directory.markStoreReachable(20_000);
    directory.replaceAllRestored(List.of(copy), 20_000);
  }

  @Test
  void runThatDrainsNeverAcceptsRequestsAgain() {
    directory.put(draining(E1));
    directory.put(entry(E1));
    assertTrue(directory.find(E1).orElseThrow().draining());
    directory.replaceAllRestored(List.of(entry(E1)), 20_000);
    assertTrue(directory.find(E1).orElseThrow().draining());
    assertTrue(directory.put(startedAt(100, 80)));
    assertFalse(directory.find(E1).orElseThrow().draining());
  }

  @Test
  void runThatLeftAfterDrainingDoesNotReturnWithRestoredStore() {
    directory.put(draining(E1));
    removeAndRestore(entry(E1));
    directory.expire(20_000 + EndpointDirectory.REVIVAL_PROOF_MS);
    assertEquals(0, count());
    assertFalse(directory.put(entry(E1)));
    assertEquals(0, count());
  }

  @Test
  void runThatLeftWithoutDrainingDoesNotReturnWithRestoredStore() {
    directory.put(entry(E1));
    directory.put(entry(E2));
    removeAndRestore(entry(E1), entry(E2));
    assertEquals(1, count());
    directory.replaceAll(List.of(entry(E1), entry(E2)), 21_000);
    assertEquals(1, count());
    directory.remove(E1, 23_600);
    directory.expire(20_000 + EndpointDirectory.REVIVAL_PROOF_MS);
    assertEquals(1, count());
  }

  @Test
  void runThatRestoredStoreKeepsListedOrThatRegistersAgainIsUsed() {
    directory.put(entry(E1));
    removeAndRestore(entry(E1));
    directory.expire(20_000 + EndpointDirectory.REVIVAL_PROOF_MS - 1);
    assertEquals(0, count());
    directory.expire(20_000 + EndpointDirectory.REVIVAL_PROOF_MS);
    assertEquals(1, count());
    removeAndRestore(entry(E1));
    directory.remove(E1, 40_000);
    directory.replaceAllRestored(List.of(entry(E1)), 50_000);
    assertEquals(0, count());
    directory.put(entry(E1));
    assertEquals(1, count());
  }
}
