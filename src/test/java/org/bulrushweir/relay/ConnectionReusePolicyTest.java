package org.bulrushweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.catalog.EndpointRecord;
import org.junit.jupiter.api.Test;

/** Tests for how long connections to an endpoint are not reused. */
class ConnectionReusePolicyTest {

  private static final long END_MS = ConnectionReusePolicy.PAUSE_MS;

  private final ConnectionReusePolicy policy = new ConnectionReusePolicy();

  private static EndpointRecord endpoint(final String id, final long startedAtMs) {
    return new EndpointRecord(
        new EndpointId(id),
        new ServiceName("orders"),
        "127.0.0.1",
        9,
        new ZoneName("zone-1"),
        6,
        false,
        startedAtMs);
  }

  @Test
  void connectionsAreNotReusedForStatedTimeAfterTheLastUnexpectedBytes() {
    assertTrue(policy.mayReuse(endpoint("a", 1), 0));
    policy.recordUnexpectedBytes(endpoint("a", 1), 0);
    assertFalse(policy.mayReuse(endpoint("a", 1), END_MS - 1));
    policy.recordUnexpectedBytes(endpoint("a", 1), END_MS - 1);
    assertFalse(policy.mayReuse(endpoint("a", 1), END_MS));
    assertTrue(policy.mayReuse(endpoint("a", 1), 2 * END_MS - 1));
  }

  @Test
  void otherEndpointsAndNewRunsAreNotAffected() {
    policy.recordUnexpectedBytes(endpoint("a", 1), 0);
    assertTrue(policy.mayReuse(endpoint("b", 1), 1));
    assertTrue(policy.mayReuse(endpoint("a", 2), 1));
  }

  @Test
  void endpointsAreForgottenOnceTheirTimeIsOver() {
    policy.recordUnexpectedBytes(endpoint("a", 1), 0);
    policy.removeExpired(END_MS - 1);
    assertEquals(1, policy.size());
    policy.removeExpired(END_MS);
    assertEquals(0, policy.size());
  }
}
