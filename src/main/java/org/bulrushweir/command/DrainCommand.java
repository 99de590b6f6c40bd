package org.bulrushweir.command;

import java.util.List;
import java.util.Map;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bulrushweir.store.PlatformStore;
import org.bulrushweir.store.Vm;
import org.bulrushweir.wire.generated.DrainRequest;
import org.bulrushweir.wire.generated.Envelope;
import org.bulrushweir.wire.generated.StatusRequest;

/** Makes an endpoint take no new work, and waits until it is idle. */
final class DrainCommand implements Command {

  /** How often the endpoint is asked whether it is idle, in milliseconds. */
  private static final long POLL_INTERVAL_MS = 200;

  @Override
  public String name() {
    return "drain";
  }

  @Override
  public String summary() {
    return "make an endpoint take no new work and wait until it is idle";
  }

  @Override
  public void declareOptions(final OptionParser parser) {
    PlatformOption.declare(parser);
    parser.nonOptions("the endpoint to drain");
  }

  @Override
  public ExitCode run(final OptionSet options, final Console console) {
    if (options.nonOptionArguments().size() != 1) {
      throw new UsageException("name one endpoint");
    }
    final String endpoint = options.nonOptionArguments().getFirst().toString();
    return PlatformOption.use(options, console, store -> drain(store, endpoint, console));
  }

  private static ExitCode drain(
      final PlatformStore store, final String endpoint, final Console console) {
    final List<Vm> vms =
        store.vms().join().stream().filter(vm -> vm.name().equals(endpoint)).toList();
    if (vms.isEmpty()) {
      console.err().println("the platform lists no VM \"" + endpoint + '"');
      return ExitCode.FAILED;
    }
    try (PeerQuery query = new PeerQuery()) {
      final Envelope request =
          Envelope.newBuilder().setDrainRequest(DrainRequest.newBuilder()).build();
      final Envelope result = query.ask(vms, request, Envelope.BodyCase.DRAIN_RESULT).get(endpoint);
      if (result == null) {
        console.err().println(endpoint + " does not answer");
        return ExitCode.FAILED;
      }
      console
          .out()
          .println(
              endpoint
                  + " takes no new work; "
                  + result.getDrainResult().getInFlight()
                  + " attempts in flight");
      return awaitIdle(query, vms, endpoint, console);
    }
  }

  private static ExitCode awaitIdle(
      final PeerQuery query, final List<Vm> vms, final String endpoint, final Console console) {
    final Envelope question =
        Envelope.newBuilder().setStatusRequest(StatusRequest.newBuilder()).build();
    while (true) {
      final Map<String, Envelope> answers =
          query.ask(vms, question, Envelope.BodyCase.STATUS_REPORT);
      final Envelope answer = answers.get(endpoint);
      if (answer == null) {
        console.err().println(endpoint + " does not answer any more");
        return ExitCode.FAILED;
      }
      if (answer.getStatusReport().getInFlight() == 0) {
        console.out().println(endpoint + " is idle");
        return ExitCode.OK;
      }
      try {
        Thread.sleep(POLL_INTERVAL_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return ExitCode.FAILED;
      }
    }
  }
}
