package org.bulrushweir.balancing;

import java.util.OptionalLong;
import org.bulrushweir.catalog.EndpointRecord;

/**
 * Why an endpoint has its place in the selection for a request.
 *
 * @param endpoint the endpoint as it is registered
 * @param standing whether it may be selected
 * @param terms the terms of its cost
 * @param isHashOwner whether hashing assigns the prompt to it
 * @param cachedTokens the tokens of the prompt that it has cached
 * @param transferredTokens the further tokens that another engine could transfer
 * @param inFlight the requests in flight of all gateways
 * @param ownInFlight those of this gateway
 * @param paceFactor its expected pace, 1 is usual
 * @param heldOffForMs for how long it wants no requests, in milliseconds
 * @param ownSendAgeMs the age of this gateway's last request to it, empty without one
 * @param peerReportAgeMs the age of the newest peer report with a request there, empty without one
 * @param statedPaceAgeMs the age of its last stated pace, empty if it has stated none
 */
public record EndpointExplanation(
    EndpointRecord endpoint,
    Standing standing,
    CostTerms terms,
    boolean isHashOwner,
    int cachedTokens,
    int transferredTokens,
    int inFlight,
    int ownInFlight,
    double paceFactor,
    long heldOffForMs,
    OptionalLong ownSendAgeMs,
    OptionalLong peerReportAgeMs,
    OptionalLong statedPaceAgeMs) {

  /** Whether an endpoint may be selected, the most preferred first. */
  public enum Standing {
    /** It is compared by its cost. */
    USABLE,
    /** It is selected only if no usable one is left. */
    EJECTED,
    /** It asked for no requests for a while. */
    HELD_OFF,
    /** The request must not be sent to it. */
    EXCLUDED
  }

  /**
   * Returns whether the selection may return the endpoint.
   *
   * @return true if it is usable or ejected
   */
  public boolean isSelectable() {
    return standing == Standing.USABLE || standing == Standing.EJECTED;
  }
}
