package org.bulrushweir.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushweir.gateway.CutOffAnswer.End;
import org.bulrushweir.gateway.CutOffJudge.Verdict;
import org.bulrushweir.logging.AsyncLogWriter;
import org.bulrushweir.relay.ResponseFraming;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Cuts answers of endpoints off after each of their bytes, at the pipelines of a gateway. */
class CutOffResponseTest {

  private static final String ID = "request-1";
  private static final long WAIT_MS = 1_300;

  /** The least share of the cases with a whole answer, where a sound endpoint may answer. */
  private static final double MIN_WHOLE_SHARE = 0.5;

  /** The least number of such cases elsewhere. */
  private static final int MIN_WHOLE = 10;

  private static final int MIN_CASES = 4_000;

  private final AsyncLogWriter writer =
      new AsyncLogWriter(new PrintStream(OutputStream.nullOutputStream()), 10);
  private final RequestLog log = GatewayCoreFixture.requestLog(writer);

  @AfterEach
  void close() {
    writer.close();
  }

  /** Guards against an answer that ends early, within its head or later, and looks whole. */
  @ParameterizedTest
  @EnumSource(CutOffCall.class)
  void answerThatIsCutOffNeverLooksWhole(final CutOffCall call) {
    final Map<Verdict, Integer> verdicts = new EnumMap<>(Verdict.class);
    for (final CutOffShape shape : CutOffShape.ALL) {
      for (final ResponseFraming framing : shape.framings()) {
        final CutOffAnswer answer = shape.answer(call, framing);
        for (int sent = 0; sent <= answer.bytes(ID).length(); sent++) {
          for (final End end : shape.ends()) {
            verdicts.merge(run(new CutOffCase(call, answer, sent, end, false)), 1, Integer::sum);
          }
          final CutOffCase reused = new CutOffCase(call, answer, sent, End.CLOSED, true);
          verdicts.merge(run(reused), 1, Integer::sum);
        }
      }
    }
    final int cases = verdicts.values().stream().mapToInt(Integer::intValue).sum();
    final int whole = verdicts.getOrDefault(Verdict.WHOLE, 0);
    assertTrue(cases >= MIN_CASES, () -> "cases: " + cases);
    assertTrue(
        whole >= (call.isRepeatable() ? MIN_WHOLE_SHARE * cases : MIN_WHOLE),
        () -> call + ": " + verdicts);
  }

  private Verdict run(final CutOffCase cut) {
    try (EmbeddedGateway gateway = new EmbeddedGateway(log)) {
      gateway.addEndpoint(cut.call().service(), cut.reused());
      gateway.addEndpoint(cut.call().service(), cut.reused());
      gateway.send(cut.call().request(ID));
      final List<CutOffAttempt> attempts = new ArrayList<>();
      Optional<EmbeddedGateway.Arrival> arrival = gateway.nextRequest();
      while (arrival.isPresent()) {
        final CutOffAttempt attempt = cut.attempt(arrival.get().request(), attempts.size());
        attempts.add(attempt);
        answer(gateway, arrival.get(), attempt);
        arrival = gateway.nextRequest();
        if (arrival.isEmpty()) {
          arrival = gateway.advance(attempt.end() == End.SILENT ? WAIT_MS : 0);
        }
      }
      final Verdict verdict =
          new CutOffJudge(cut.call(), attempts)
              .judge(gateway.received(), gateway.isCallerConnected());
      if (cut.isDeliverable(ID)) {
        assertEquals(Verdict.WHOLE, verdict, gateway.received());
      }
      return verdict;
    } catch (AssertionError | RuntimeException e) {
      throw new AssertionError(cut + ": " + e.getMessage(), e);
    }
  }

  private static void answer(
      final EmbeddedGateway gateway,
      final EmbeddedGateway.Arrival arrival,
      final CutOffAttempt attempt) {
    final String sent = attempt.answer().bytes(ID).substring(0, attempt.sent());
    gateway.answer(arrival.endpoint(), sent.substring(0, sent.length() / 2));
    gateway.answer(arrival.endpoint(), sent.substring(sent.length() / 2));
    if (attempt.end() == End.CLOSED) {
      gateway.closeEndpoint(arrival.endpoint());
    } else if (attempt.end() == End.RESET) {
      gateway.resetEndpoint(arrival.endpoint());
    }
  }
}
