package org.bulrushweir.timeline;

import org.bulrushweir.api.ConfigNumber;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.RequestId;

/**
 * Says what an event is about.
 *
 * @param request the request, null if none
 * @param attempt the attempt of the request, zero if none
 * @param endpoint the endpoint, null if none
 * @param config the configuration's number, null if none
 */
public record EventSubject(
    RequestId request, int attempt, EndpointId endpoint, ConfigNumber config) {

  /** The subject of events that concern the process as a whole. */
  public static final EventSubject PROCESS = new EventSubject(null, 0, null, null);

  /**
   * Names a request.
   *
   * @param request the request
   * @return the subject
   */
  public static EventSubject of(final RequestId request) {
    return new EventSubject(request, 0, null, null);
  }

  /**
   * Names an attempt.
   *
   * @param request the request
   * @param attempt the attempt
   * @param endpoint the endpoint
   * @return the subject
   */
  public static EventSubject of(
      final RequestId request, final int attempt, final EndpointId endpoint) {
    return new EventSubject(request, attempt, endpoint, null);
  }

  /**
   * Names an endpoint.
   *
   * @param endpoint the endpoint
   * @return the subject
   */
  public static EventSubject of(final EndpointId endpoint) {
    return new EventSubject(null, 0, endpoint, null);
  }

  /**
   * Names a configuration.
   *
   * @param config its number
   * @return the subject
   */
  public static EventSubject of(final ConfigNumber config) {
    return new EventSubject(null, 0, null, config);
  }
}
