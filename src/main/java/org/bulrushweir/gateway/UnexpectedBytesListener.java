package org.bulrushweir.gateway;

import org.bulrushweir.api.EndpointId;
import org.bulrushweir.relay.UnexpectedBytes;

/** Receives reports of bytes from endpoints that belong to no waiting request. */
@FunctionalInterface
interface UnexpectedBytesListener {

  /**
   * Handles a report.
   *
   * @param endpoint the endpoint that sent the bytes
   * @param request the id of the waiting request or, on an idle connection, of the last one
   * @param kind what was unexpected
   */
  void onUnexpectedBytes(EndpointId endpoint, String request, UnexpectedBytes kind);
}
