package org.bulrushweir.placement;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.bulrushweir.api.EndpointId;

/**
 * The holder of the right to give orders to an engine, as kept in the platform's store.
 *
 * @param token the holder's fencing token, greater than those of all earlier holders
 * @param incarnation the incarnation of the sidecar that holds the right
 */
public record FenceRow(
    @JsonProperty("number") long token, @JsonProperty("incarnation") long incarnation) {

  /**
   * Returns the key of the row of an engine.
   *
   * @param endpoint the engine
   * @return the row's key
   */
  public static String key(final EndpointId endpoint) {
    return "fences/" + endpoint.value();
  }

  /**
   * Returns whether a sidecar holds the right. The token alone does not tell, since a store that
   * was restored from an older copy gives it out again.
   *
   * @param heldToken the fencing token that the sidecar was given
   * @param heldIncarnation the incarnation of the sidecar
   * @return true if the row is the sidecar's
   */
  public boolean isHeldBy(final long heldToken, final long heldIncarnation) {
    return token == heldToken && incarnation == heldIncarnation;
  }
}
