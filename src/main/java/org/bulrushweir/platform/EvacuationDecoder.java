package org.bulrushweir.platform;

import java.util.Optional;
import org.bulrushweir.api.Finding;
import org.bulrushweir.api.FindingCollector;
import org.bulrushweir.api.ZoneName;

/** Decodes the rows with which operators evacuate availability zones. */
public final class EvacuationDecoder {

  private static final String KEY_PREFIX = "evacuate/";

  /**
   * Returns whether a row of the table of configurations evacuates a zone.
   *
   * @param key the row's key
   * @return true if it is the key of an evacuation, which may still name no valid zone
   */
  public boolean isEvacuation(final String key) {
    return key.startsWith(KEY_PREFIX);
  }

  /**
   * Decodes the key of a row; its value does not matter.
   *
   * @param key the key of an evacuation
   * @param findings why it can't be used
   * @return the zone, empty after a finding
   */
  public Optional<ZoneName> decode(final String key, final FindingCollector findings) {
    try {
      return Optional.of(new ZoneName(key.substring(KEY_PREFIX.length())));
    } catch (IllegalArgumentException e) {
      findings.add(new Finding("row " + key, 0, 0, "evacuates no zone: " + e.getMessage()));
      return Optional.empty();
    }
  }

  /**
   * Returns the key of the row that evacuates a zone.
   *
   * @param zone the zone
   * @return the key
   */
  public static String key(final ZoneName zone) {
    return KEY_PREFIX + zone;
  }
}
