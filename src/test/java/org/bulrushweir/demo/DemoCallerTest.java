package org.bulrushweir.demo;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.bulrushweir.testing.RawAnswer;
import org.bulrushweir.testing.Repetition;
import org.bulrushweir.testing.StutteringServer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the caller before a gateway that writes answers a second time. */
class DemoCallerTest {

  private static final int REQUESTS = 3;

  /** Guards against a caller that takes the answer to another request for its own. */
  @ParameterizedTest
  @MethodSource("org.bulrushweir.testing.Repetition#all")
  void answerThatNamesAnotherRequestIsNoAnswer(final Repetition repetition)
      throws IOException, InterruptedException {
    try (StutteringServer server =
            new StutteringServer(
                repetition,
                (path, number) ->
                    new RawAnswer(200, "X-Request-Id: r" + number + "\r\n", "body-" + number));
        DemoCaller caller = new DemoCaller()) {
      assertEquals("body-0", caller.send(server.port(), DemoCall.lookup("r0")).body());
      for (int number = 1; number < REQUESTS; number++) {
        StutteringServer.awaitIdleRepetitions();
        final DemoAnswer answer = caller.send(server.port(), DemoCall.lookup("r" + number));
        assertTrue(!answer.served() || answer.body().equals("body-" + number), answer.body());
      }
    }
  }
}
