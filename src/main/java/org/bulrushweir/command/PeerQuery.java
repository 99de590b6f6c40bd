package org.bulrushweir.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.Incarnation;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.kernel.SystemClock;
import org.bulrushweir.store.Vm;
import org.bulrushweir.timeline.HybridClock;
import org.bulrushweir.wire.EnvelopeStamp;
import org.bulrushweir.wire.PeerChannel;
import org.bulrushweir.wire.PeerIdentity;
import org.bulrushweir.wire.PeerListener;
import org.bulrushweir.wire.PeerTransport;
import org.bulrushweir.wire.generated.ConfigText;
import org.bulrushweir.wire.generated.Envelope;

/** Asks processes of the fleet on behalf of an operator's command. */
final class PeerQuery implements AutoCloseable {

  /** How long a process may take to answer, in milliseconds. */
  private static final long TIMEOUT_MS = 2_000;

  /** Opens the connections. */
  private final PeerTransport transport;

  /** The text that processes may ask this command for, null if there is none. */
  private final ConfigText text;

  /** Creates a query that knows no configuration. */
  PeerQuery() {
    this(null);
  }

  /**
   * Creates a query that spreads a configuration which was accepted just now.
   *
   * @param text the configuration, null if there is none
   */
  PeerQuery(final ConfigText text) {
    final Clock clock = new SystemClock();
    this.text = text;
    final PeerIdentity self =
        new PeerIdentity(
            new NodeId("operator"), new Incarnation(clock.nowMs()), new ZoneName("none"));
    this.transport =
        new PeerTransport(
            self,
            new EnvelopeStamp(() -> text == null ? 0 : text.getNumber(), new HybridClock(clock)));
  }

  /**
   * Asks processes, all at once.
   *
   * @param vms where the processes run
   * @param question the question
   * @param answerCase what kind of message answers it
   * @return the answers by process; a process that does not answer in time has a null answer
   */
  Map<String, Envelope> ask(
      final List<Vm> vms, final Envelope question, final Envelope.BodyCase answerCase) {
    final Map<String, CompletableFuture<Envelope>> futures = new TreeMap<>();
    for (final Vm vm : vms) {
      futures.put(vm.name(), askOne(vm, question, answerCase));
    }
    final Map<String, Envelope> answers = new TreeMap<>();
    futures.forEach(
        (name, future) -> answers.put(name, future.exceptionally(failure -> null).join()));
    return answers;
  }

  private CompletableFuture<Envelope> askOne(
      final Vm vm, final Envelope question, final Envelope.BodyCase answerCase) {
    final CompletableFuture<Envelope> answer = new CompletableFuture<>();
    final AnswerListener listener = new AnswerListener(answer, answerCase);
    transport
        .connect(vm.host(), vm.peerPort(), listener)
        .whenComplete(
            (channel, failure) -> {
              if (failure != null) {
                answer.completeExceptionally(failure);
                return;
              }
              channel.send(question.toBuilder());
            });
    return answer.orTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    transport.close();
  }

  /** Waits for an answer, and gives away the text when asked for it. */
  private final class AnswerListener implements PeerListener {

    private final CompletableFuture<Envelope> answer;
    private final Envelope.BodyCase answerCase;

    private AnswerListener(
        final CompletableFuture<Envelope> answer, final Envelope.BodyCase answerCase) {
      this.answer = answer;
      this.answerCase = answerCase;
    }

    @Override
    public void received(final PeerChannel channel, final Envelope envelope) {
      if (envelope.hasConfigRequest() && text != null) {
        channel.send(Envelope.newBuilder().setConfigText(text));
      }
      if (envelope.getBodyCase() == answerCase) {
        answer.complete(envelope);
      }
    }

    @Override
    public void closed(final PeerChannel channel) {
      answer.completeExceptionally(new IllegalStateException("the process closed the connection"));
    }
  }

  /**
   * Names the processes that did not answer.
   *
   * @param answers the answers by process
   * @return the names
   */
  static List<String> silent(final Map<String, Envelope> answers) {
    final List<String> names = new ArrayList<>();
    answers.forEach(
        (name, answer) -> {
          if (answer == null) {
            names.add(name);
          }
        });
    return names;
  }
}
