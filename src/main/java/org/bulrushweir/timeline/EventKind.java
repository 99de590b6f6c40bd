package org.bulrushweir.timeline;

import java.util.Locale;

/** The kinds of events. */
public enum EventKind {
  /** A process has started. */
  PROCESS_STARTED,
  /** A process is stopping. */
  PROCESS_STOPPING,
  /** A configuration was put in force. */
  CONFIG_IN_FORCE,
  /** A text of a configuration could not be used. */
  CONFIG_REJECTED,
  /** A caller's request has come. */
  REQUEST_RECEIVED,
  /** A request was answered, or its caller was told why not. */
  REQUEST_FINISHED,
  /** An attempt was sent to an endpoint. */
  ATTEMPT_SENT,
  /** The connection of an attempt was lost and its sidecar is asked for the rest. */
  ATTEMPT_RESUMED,
  /** An attempt was asked to be stopped. */
  ATTEMPT_CANCELLED,
  /** A sidecar has accepted an attempt. */
  ATTEMPT_ADMITTED,
  /** A sidecar has refused an attempt. */
  ATTEMPT_REFUSED,
  /** An attempt was started at the endpoint. */
  ATTEMPT_STARTED,
  /** An attempt has ended at the endpoint. */
  ATTEMPT_ENDED,
  /** An endpoint takes no new work. */
  ENDPOINT_LEAVING,
  /** An endpoint takes work again. */
  ENDPOINT_RETURNED,
  /** An endpoint could not be reached. */
  ENDPOINT_UNREACHABLE,
  /** An order was given to an engine. */
  ORDER_GIVEN,
  /** An engine has refused an order. */
  ORDER_REFUSED,
  /** The cache of a chat was handed to another endpoint. */
  CACHE_HANDED_OVER;

  /**
   * Returns the kind in the form in which operators see it.
   *
   * @return lower case words with hyphens
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
