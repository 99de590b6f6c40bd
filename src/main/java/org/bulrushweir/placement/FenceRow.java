package org.bulrushweir.placement;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.bulrushweir.api.EndpointId;

/**
 * Says who may give orders to an engine.
 *
 * @param number the fencing number; each holder's is greater than those of earlier ones
 * @param incarnation the life of the sidecar that holds the right
 */
public record FenceRow(
    @JsonProperty("number") long number, @JsonProperty("incarnation") long incarnation) {

  /**
   * Returns the key of an engine's row.
   *
   * @param endpoint the engine
   * @return the key
   */
  public static String key(final EndpointId endpoint) {
    return "fences/" + endpoint.value();
  }
}
