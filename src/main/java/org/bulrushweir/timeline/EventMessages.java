package org.bulrushweir.timeline;

import java.util.Locale;
import org.bulrushweir.api.ConfigNumber;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.RequestId;
import org.bulrushweir.wire.generated.Event;

/** Translates events to their form on the wire and back. */
public final class EventMessages {

  private EventMessages() {}

  /**
   * Translates to the wire.
   *
   * @param event the event
   * @return its form on the wire
   */
  public static Event toWire(final TimelineEvent event) {
    final EventSubject subject = event.subject();
    return Event.newBuilder()
        .setLogicalTime(event.stamp())
        .setNode(event.node().value())
        .setKind(event.kind().label())
        .setRequest(subject.request() == null ? 0 : subject.request().value())
        .setAttempt(subject.attempt())
        .setEndpoint(subject.endpoint() == null ? "" : subject.endpoint().value())
        .setConfigNumber(subject.config() == null ? 0 : subject.config().value())
        .setDetail(event.detail())
        .build();
  }

  /**
   * Translates from the wire.
   *
   * @param message the form on the wire
   * @return the event
   * @throws IllegalArgumentException if the message is malformed
   */
  public static TimelineEvent fromWire(final Event message) {
    final EventSubject subject =
        new EventSubject(
            message.getRequest() == 0 ? null : new RequestId(message.getRequest()),
            message.getAttempt(),
            message.getEndpoint().isEmpty() ? null : new EndpointId(message.getEndpoint()),
            message.getConfigNumber() == 0 ? null : new ConfigNumber(message.getConfigNumber()));
    final EventKind kind =
        EventKind.valueOf(message.getKind().toUpperCase(Locale.ROOT).replace('-', '_'));
    return new TimelineEvent(
        message.getLogicalTime(),
        new NodeId(message.getNode()),
        kind,
        subject,
        message.getDetail());
  }
}
