package org.bulrushweir.gateway;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.catalog.ActivePlan;
import org.bulrushweir.explain.ExplanationFields;
import org.bulrushweir.platform.ExplainedRequest;
import org.bulrushweir.relay.RequestHead;

/**
 * Explains where a request would be sent now, with the code that decides on requests. Sends and
 * changes nothing.
 *
 * <p>Confined to the event loop.
 */
final class RequestExplainer {

  /** The id of a request without one. */
  private static final String DEFAULT_ID = "explain";

  private final Clock clock;
  private final ActivePlan activePlan;
  private final GatewayCore core;
  private final DispatchGate dispatch;
  private final EndpointExplainer endpoints;

  /**
   * Creates an explainer.
   *
   * @param clock the process's clock
   * @param activePlan the active routing plan
   * @param core decides which requests are served
   * @param dispatch decides which requests wait
   * @param endpoints explains the selection of an endpoint
   */
  RequestExplainer(
      final Clock clock,
      final ActivePlan activePlan,
      final GatewayCore core,
      final DispatchGate dispatch,
      final EndpointExplainer endpoints) {
    this.clock = clock;
    this.activePlan = activePlan;
    this.core = core;
    this.dispatch = dispatch;
    this.endpoints = endpoints;
  }

  /**
   * An explanation or the reason why there is none.
   *
   * @param status the status of the response
   * @param json its body
   */
  record Answer(HttpResponseStatus status, String json) {}

  /**
   * Explains a request.
   *
   * @param query the parameters that describe it, see {@link ExplanationFields}
   * @return the answer
   */
  Answer explain(final QueryStringDecoder query) {
    try {
      return explain(
          ExplainedRequest.head(
              parameter(query, ExplanationFields.ID).orElse(DEFAULT_ID),
              required(query, ExplanationFields.HOST),
              required(query, ExplanationFields.REQUEST_PATH),
              parameter(query, ExplanationFields.PROMPT).orElse(""),
              number(query, ExplanationFields.OUTPUT_TOKENS),
              number(query, ExplanationFields.DEADLINE_MS)),
          parameter(query, ExplanationFields.ORGANISATION).map(OrganisationId::new));
    } catch (IllegalArgumentException e) {
      return error(
          HttpResponseStatus.BAD_REQUEST,
          ExplanationFields.INVALID,
          String.valueOf(e.getMessage()));
    }
  }

  private Answer explain(final RequestHead head, final Optional<OrganisationId> organisation) {
    if (core.isStarting() || activePlan.current().isEmpty()) {
      return error(
          HttpResponseStatus.SERVICE_UNAVAILABLE,
          ExplanationFields.NO_CONFIGURATION,
          "the gateway has not read the configuration and the endpoints yet");
    }
    if (organisation.isPresent()
        && organisation.flatMap(activePlan.current().get()::tenantNamed).isEmpty()) {
      return error(
          HttpResponseStatus.UNPROCESSABLE_ENTITY,
          ExplanationFields.UNKNOWN_ORGANISATION,
          "the configuration has no key of an organisation with this name");
    }
    final RequestAdmission.Decision decision = core.preview(head, organisation);
    if (decision instanceof RequestAdmission.Rejected rejected
        && rejected.status().equals(HttpResponseStatus.NOT_FOUND)) {
      return error(
          HttpResponseStatus.NOT_FOUND,
          ExplanationFields.NO_ROUTE,
          "no route matches host and path");
    }
    final long nowMs = clock.nowMs();
    final ExplanationWriter writer = new ExplanationWriter(nowMs);
    writer.plan(activePlan.current().get().version(), activePlan.confirmationAgeMs(nowMs));
    switch (decision) {
      case RequestAdmission.Rejected rejected -> writer.rejected(rejected);
      case RequestAdmission.Admitted admitted -> {
        writer.admitted(admitted.request());
        writer.dispatch(dispatch.preview(admitted.request()));
        endpoints.explain(admitted.request(), writer, nowMs);
      }
    }
    return new Answer(HttpResponseStatus.OK, writer.json());
  }

  private static Answer error(
      final HttpResponseStatus status, final String error, final String detail) {
    return new Answer(status, ExplanationWriter.error(error, detail));
  }

  private static Optional<String> parameter(final QueryStringDecoder query, final String name) {
    return query.parameters().getOrDefault(name, List.of()).stream().findFirst();
  }

  private static String required(final QueryStringDecoder query, final String name) {
    return parameter(query, name)
        .filter(value -> !value.isEmpty())
        .orElseThrow(() -> new IllegalArgumentException("the parameter " + name + " is missing"));
  }

  private static OptionalLong number(final QueryStringDecoder query, final String name) {
    final Optional<String> text = parameter(query, name);
    if (text.isEmpty()) {
      return OptionalLong.empty();
    }
    try {
      return OptionalLong.of(Long.parseUnsignedLong(text.get()));
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("the parameter " + name + " is not a number", e);
    }
  }
}
