package org.bulrushweir.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bulrushweir.api.ConfigNumber;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.RequestId;
import org.bulrushweir.store.PlatformStore;
import org.bulrushweir.timeline.EventMessages;
import org.bulrushweir.timeline.EventSubject;
import org.bulrushweir.timeline.HybridClock;
import org.bulrushweir.timeline.TimelineEvent;
import org.bulrushweir.wire.generated.Envelope;
import org.bulrushweir.wire.generated.EventsRequest;

/** Shows the events of all processes in causal order. */
final class TimelineCommand implements Command {

  /** The option that selects a request. */
  private static final String REQUEST = "request";

  /** The option that selects an endpoint. */
  private static final String ENDPOINT = "endpoint";

  /** The option that selects a configuration. */
  private static final String CONFIG = "config";

  @Override
  public String name() {
    return "timeline";
  }

  @Override
  public String summary() {
    return "show the events of all processes in causal order";
  }

  @Override
  public void declareOptions(final OptionParser parser) {
    PlatformOption.declare(parser);
    parser.accepts(REQUEST, "show one request only").withRequiredArg();
    parser.accepts(ENDPOINT, "show one endpoint only").withRequiredArg();
    parser.accepts(CONFIG, "show one configuration only").withRequiredArg().ofType(Long.class);
  }

  @Override
  public ExitCode run(final OptionSet options, final Console console) {
    final Predicate<EventSubject> selection = selection(options);
    return PlatformOption.use(options, console, store -> show(store, selection, console));
  }

  private static Predicate<EventSubject> selection(final OptionSet options) {
    Predicate<EventSubject> selection = subject -> true;
    try {
      if (options.has(REQUEST)) {
        final RequestId request = RequestId.parse((String) options.valueOf(REQUEST));
        selection = selection.and(subject -> request.equals(subject.request()));
      }
      if (options.has(ENDPOINT)) {
        final EndpointId endpoint = new EndpointId((String) options.valueOf(ENDPOINT));
        selection = selection.and(subject -> endpoint.equals(subject.endpoint()));
      }
      if (options.has(CONFIG)) {
        final ConfigNumber config = new ConfigNumber((Long) options.valueOf(CONFIG));
        selection = selection.and(subject -> config.equals(subject.config()));
      }
    } catch (IllegalArgumentException e) {
      throw new UsageException(e.getMessage());
    }
    return selection;
  }

  private static ExitCode show(
      final PlatformStore store, final Predicate<EventSubject> selection, final Console console) {
    final Envelope question =
        Envelope.newBuilder().setEventsRequest(EventsRequest.newBuilder()).build();
    final Map<String, Envelope> answers;
    try (PeerQuery query = new PeerQuery()) {
      answers = query.ask(store.vms().join(), question, Envelope.BodyCase.EVENTS_REPORT);
    }
    final List<TimelineEvent> events = new ArrayList<>();
    for (final Envelope answer : answers.values()) {
      if (answer != null) {
        answer.getEventsReport().getEventsList().stream()
            .map(EventMessages::fromWire)
            .filter(event -> selection.test(event.subject()))
            .forEach(events::add);
      }
    }
    Collections.sort(events);
    events.forEach(event -> console.out().println(line(event)));
    final List<String> silent = PeerQuery.silent(answers);
    silent.forEach(name -> console.err().println(name + " does not answer"));
    return silent.isEmpty() ? ExitCode.OK : ExitCode.FAILED;
  }

  /**
   * Writes an event as a line of text.
   *
   * @param event the event
   * @return the line
   */
  static String line(final TimelineEvent event) {
    final EventSubject subject = event.subject();
    final StringBuilder line = new StringBuilder();
    line.append(Instant.ofEpochMilli(HybridClock.timeMs(event.stamp())))
        .append("  ")
        .append(String.format("%-16s %-20s", event.node(), event.kind().label()));
    if (subject.request() != null) {
      line.append(" request=").append(subject.request());
    }
    if (subject.attempt() != 0) {
      line.append('/').append(subject.attempt());
    }
    if (subject.endpoint() != null) {
      line.append(" endpoint=").append(subject.endpoint());
    }
    if (subject.config() != null) {
      line.append(" config=").append(subject.config());
    }
    if (!event.detail().isEmpty()) {
      line.append(" ").append(event.detail());
    }
    return line.toString().stripTrailing();
  }
}
