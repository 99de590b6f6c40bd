package org.bulrushweir.relay;

import java.util.List;

/**
 * What a response on a connection to an endpoint is taken for while a request waits there. An
 * endpoint may write an earlier response once more, so that it arrives where the next one is due.
 */
public enum ResponseMatch {
  /** The response belongs to the waiting request. */
  OWN,
  /**
   * The response belongs to the waiting request, since the connection has carried no other one. It
   * names none, so a copy of it could not be told from a later response: the connection must not be
   * used again.
   */
  OWN_UNNAMED,
  /** The response belongs to another request and is skipped. */
  FOREIGN,
  /** The response may belong to the waiting request or to an earlier one, so it proves nothing. */
  AMBIGUOUS;

  /**
   * Decides what a response is taken for.
   *
   * @param named the different ids of requests that the response names
   * @param requestId the id of the waiting request
   * @param reused whether the connection has carried another request before
   * @return the decision
   */
  public static ResponseMatch of(
      final List<String> named, final String requestId, final boolean reused) {
    if (named.isEmpty()) {
      return reused ? AMBIGUOUS : OWN_UNNAMED;
    }
    if (!named.contains(requestId)) {
      return FOREIGN;
    }
    return named.size() == 1 ? OWN : AMBIGUOUS;
  }
}
