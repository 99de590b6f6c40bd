package org.bulrushweir.command;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.bulrushweir.configuration.ConfigMachine;
import org.bulrushweir.store.Vm;
import org.bulrushweir.wire.generated.ConfigText;
import org.bulrushweir.wire.generated.Envelope;
import org.bulrushweir.wire.generated.StatusRequest;

/** Tells a few processes of a new configuration and watches it come into force on all. */
final class ConfigSpread {

  /** How many processes are told; they tell the others. */
  private static final int FANOUT = 5;

  /** How long the configuration may take to come into force everywhere, in milliseconds. */
  private static final long TIMEOUT_MS = 5_000;

  /** How often the processes are asked, in milliseconds. */
  private static final long POLL_INTERVAL_MS = 500;

  private ConfigSpread() {}

  /**
   * Spreads a configuration.
   *
   * @param vms where the processes run
   * @param number the configuration's number
   * @param text its text
   * @param console where progress goes
   * @throws InterruptedException if the thread is interrupted
   */
  static void spread(
      final List<Vm> vms, final long number, final String text, final Console console)
      throws InterruptedException {
    final ConfigText message =
        ConfigText.newBuilder()
            .setNumber(number)
            .setText(text)
            .setDigest(ConfigMachine.digest(text))
            .build();
    final Envelope question =
        Envelope.newBuilder().setStatusRequest(StatusRequest.newBuilder()).build();
    final long startMs = System.currentTimeMillis();
    try (PeerQuery telling = new PeerQuery(message);
        PeerQuery asking = new PeerQuery()) {
      final List<Vm> shuffled = new ArrayList<>(vms);
      Collections.shuffle(shuffled);
      telling.ask(
          shuffled.subList(0, Math.min(FANOUT, shuffled.size())),
          question,
          Envelope.BodyCase.STATUS_REPORT);
      List<String> behind = behind(asking, vms, question, number);
      while (!behind.isEmpty() && System.currentTimeMillis() - startMs < TIMEOUT_MS) {
        Thread.sleep(POLL_INTERVAL_MS);
        behind = behind(asking, vms, question, number);
      }
      console
          .out()
          .printf(
              "in force on %d of %d processes after %d ms%n",
              vms.size() - behind.size(), vms.size(), System.currentTimeMillis() - startMs);
      behind.forEach(name -> console.out().println("not yet, or not reachable: " + name));
    }
  }

  private static List<String> behind(
      final PeerQuery query, final List<Vm> vms, final Envelope question, final long number) {
    final Map<String, Envelope> answers = query.ask(vms, question, Envelope.BodyCase.STATUS_REPORT);
    final List<String> behind = new ArrayList<>();
    answers.forEach(
        (name, answer) -> {
          if (answer == null || answer.getConfigNumber() < number) {
            behind.add(name);
          }
        });
    return behind;
  }
}
