package org.bulrushweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests what the head of a response says about further requests. */
class ResponseHeadTest {

  private static long holdOffMs(final int status, final long retryAfterMs) {
    return new ResponseHead(status, true, true, retryAfterMs).holdOffMs();
  }

  @Test
  void onlyUnavailableEndpointsHoldRequestsOff() {
    assertEquals(1_500, holdOffMs(503, 1_500));
    assertEquals(0, holdOffMs(503, 0));
    assertEquals(0, holdOffMs(429, 1_500));
    assertEquals(0, holdOffMs(200, 1_500));
  }

  @Test
  void hugeTimesAreBounded() {
    assertEquals(600_000, holdOffMs(503, Long.MAX_VALUE));
  }
}
