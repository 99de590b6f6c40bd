package org.bulrushweir.relay;

import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Decides which responses of endpoints are rejected because readers may understand them
 * differently, so that an incomplete one might look complete.
 */
public final class ResponseSyntax {

  private static final Set<String> VERSIONS = Set.of("HTTP/1.0", "HTTP/1.1");
  private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");
  private static final String SWITCHING_PROTOCOLS = "101";
  private static final String CHUNKED = "chunked";

  private ResponseSyntax() {}

  /**
   * Returns whether a status line is one that a request of a gateway can get.
   *
   * @param version its version
   * @param status its status
   * @return false for statuses that HTTP does not define, and for a change of the protocol, which
   *     gateways do not ask for
   */
  public static boolean isStatusLine(final String version, final String status) {
    return VERSIONS.contains(version)
        && STATUS.matcher(status).matches()
        && !SWITCHING_PROTOCOLS.equals(status);
  }

  /**
   * Returns whether the body is encoded for its transfer in no way but in chunks. In any other one,
   * its end is unknown, or its bytes are not those of the body.
   *
   * @param encodings the values of {@code Transfer-Encoding}
   * @return true if there is none, or one that says "chunked"
   */
  public static boolean isTransferEncodingKnown(final List<String> encodings) {
    return encodings.isEmpty()
        || encodings.size() == 1 && CHUNKED.equalsIgnoreCase(encodings.getFirst().strip());
  }
}
