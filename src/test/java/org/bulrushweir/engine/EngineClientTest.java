package org.bulrushweir.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import okhttp3.HttpUrl;
import org.bulrushweir.testing.RawAnswer;
import org.bulrushweir.testing.Repetition;
import org.bulrushweir.testing.StutteringServer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the client before an endpoint that writes an earlier response once more. */
class EngineClientTest {

  private static final String REPETITIONS = "org.bulrushweir.testing.Repetition#all";
  private static final int REQUESTS = 3;

  /** Guards against the response to an earlier request, which nothing in it tells apart. */
  @ParameterizedTest
  @MethodSource(REPETITIONS)
  void responseToAnEarlierRequestIsNotTakenForTheNextOne(final Repetition repetition)
      throws IOException, InterruptedException {
    try (StutteringServer server =
            new StutteringServer(repetition, (path, number) -> RawAnswer.ok(path));
        EngineClient client = new EngineClient(HttpUrl.get(server.url()))) {
      for (int number = 0; number < REQUESTS; number++) {
        final String path = "/request-" + number;
        final EngineResult result =
            client.executeServiceCall(client.newServiceCall("GET", path, "", new byte[0]));
        final EngineResult.Answered answered =
            assertInstanceOf(EngineResult.Answered.class, result);
        assertEquals(path, new String(answered.body(), StandardCharsets.US_ASCII));
        StutteringServer.awaitIdleRepetitions();
      }
    }
  }

  /** Guards against a load order that counts as carried out since the one before it was. */
  @ParameterizedTest
  @MethodSource(REPETITIONS)
  void orderThatFailsIsNotTakenForTheOneBefore(final Repetition repetition)
      throws IOException, InterruptedException {
    try (StutteringServer server =
            new StutteringServer(
                repetition, (path, number) -> new RawAnswer(number == 0 ? 200 : 409, "{}"));
        EngineClient client = new EngineClient(HttpUrl.get(server.url()))) {
      final EngineProtocol.Order order = new EngineProtocol.Order(1, "m", "1", List.of(), true);
      assertEquals(OrderResult.DONE, client.sendOrder(order));
      StutteringServer.awaitIdleRepetitions();
      assertEquals(OrderResult.FENCED, client.sendOrder(order));
    }
  }
}
