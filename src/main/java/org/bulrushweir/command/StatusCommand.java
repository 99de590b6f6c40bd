package org.bulrushweir.command;

import java.util.Map;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bulrushweir.store.PlatformStore;
import org.bulrushweir.wire.generated.Envelope;
import org.bulrushweir.wire.generated.StatusReport;
import org.bulrushweir.wire.generated.StatusRequest;

/** Shows the status of all processes. */
final class StatusCommand implements Command {

  /** How a line of the table is laid out. */
  private static final String LAYOUT = "%-20s %-8s %-16s %7s %9s %9s %-8s %s%n";

  @Override
  public String name() {
    return "status";
  }

  @Override
  public String summary() {
    return "show the status of all processes";
  }

  @Override
  public void declareOptions(final OptionParser parser) {
    PlatformOption.declare(parser);
  }

  @Override
  public ExitCode run(final OptionSet options, final Console console) {
    return PlatformOption.use(options, console, store -> show(store, console));
  }

  private static ExitCode show(final PlatformStore store, final Console console) {
    final Envelope question =
        Envelope.newBuilder().setStatusRequest(StatusRequest.newBuilder()).build();
    final Map<String, Envelope> answers;
    try (PeerQuery query = new PeerQuery()) {
      answers = query.ask(store.vms().join(), question, Envelope.BodyCase.STATUS_REPORT);
    }
    console
        .out()
        .printf(LAYOUT, "NODE", "ROLE", "ZONE", "CONFIG", "IN-FLIGHT", "LOAD", "STATE", "MODELS");
    answers.forEach((name, answer) -> showOne(name, answer, console));
    return PeerQuery.silent(answers).isEmpty() ? ExitCode.OK : ExitCode.FAILED;
  }

  private static void showOne(final String name, final Envelope answer, final Console console) {
    if (answer == null) {
      console.out().printf(LAYOUT, name, "-", "-", "-", "-", "-", "silent", "");
      return;
    }
    final StatusReport report = answer.getStatusReport();
    console
        .out()
        .printf(
            LAYOUT,
            name,
            report.getRole(),
            report.getZone(),
            report.getConfigNumber(),
            report.getInFlight(),
            report.getLoad(),
            report.getLeaving() ? "leaving" : "up",
            String.join(" ", report.getModelsList()));
  }
}
