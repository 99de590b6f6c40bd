package org.bulrushweir.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.util.Optional;
import java.util.OptionalLong;
import org.approvaltests.Approvals;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.balancing.CostTerms;
import org.bulrushweir.balancing.EndpointExplanation;
import org.bulrushweir.balancing.ServiceRoom;
import org.bulrushweir.catalog.EndpointRecord;
import org.bulrushweir.dispatch.DispatchDecision;
import org.bulrushweir.dispatch.RejectionReason;
import org.bulrushweir.dispatch.ServiceLoad;
import org.bulrushweir.explain.ExplanationText;
import org.junit.jupiter.api.Test;

/** Guards the JSON that programs read and the text that people read against unnoticed changes. */
class ExplanationWriterTest {

  private final ExplanationWriter writer = new ExplanationWriter(1_000_000);

  private void write(final DispatchDecision decision) {
    writer.plan(7, 120);
    writer.dispatch(
        Optional.of(
            new DispatchPreview(
                decision, new ServiceLoad(new ServiceRoom(3, 24, 23), 9, 2, 0), 4)));
    final EndpointExplanation warm =
        new EndpointExplanation(
            endpoint("engine-1", "zone-1"),
            EndpointExplanation.Standing.USABLE,
            new CostTerms(22.9226, 0, 10, 3, -6.5, 14.71, 3, 1.25, 0),
            true,
            2_040,
            0,
            3,
            1,
            1.5,
            0,
            OptionalLong.of(40),
            OptionalLong.of(180),
            OptionalLong.of(75));
    final EndpointExplanation heldOff =
        new EndpointExplanation(
            endpoint("engine-2", "zone-2"),
            EndpointExplanation.Standing.HELD_OFF,
            new CostTerms(0, 0, 0, 0, 0, 0, 0, 0, 90_010),
            false,
            0,
            2_040,
            9,
            0,
            1,
            400,
            OptionalLong.empty(),
            OptionalLong.empty(),
            OptionalLong.empty());
    writer.selection(Optional.of(warm), 95);
    writer.candidate(warm, 0);
    writer.candidate(heldOff, 1_200);
    writer.unusable("draining");
    writer.unusable("evacuated");
    writer.unusable("evacuated");
  }

  private static EndpointRecord endpoint(final String name, final String zone) {
    return new EndpointRecord(
        new EndpointId(name),
        new ServiceName("assistant"),
        "127.0.0.1",
        80,
        new ZoneName(zone),
        8,
        false,
        1);
  }

  private JsonNode json() throws IOException {
    return new ObjectMapper().readTree(writer.json());
  }

  /** Adds an admission without building a route. */
  private JsonNode admitted() throws IOException {
    final JsonNode json = json();
    json.withObject("/admission")
        .put("admitted", true)
        .put("route", "draft")
        .put("service", "assistant")
        .put("priority", 1)
        .put("target_ms", 600)
        .put("deadline_ms", 4_000);
    return json;
  }

  @Test
  void jsonNamesAllTermsAndAges() throws IOException {
    write(new DispatchDecision.Wait(35));
    Approvals.verify(json().toPrettyString());
  }

  @Test
  void textNamesAllTermsAndAges() throws IOException {
    write(new DispatchDecision.Reject(RejectionReason.DEADLINE, 700, "refused"));
    Approvals.verify(ExplanationText.format(admitted()));
  }

  @Test
  void textOfRefusedRequest() throws IOException {
    writer.plan(7, 120);
    writer.rejected(
        new RequestAdmission.Rejected(
            HttpResponseStatus.SERVICE_UNAVAILABLE, "draining for 20 ms", 300));
    Approvals.verify(ExplanationText.format(json()));
  }
}
