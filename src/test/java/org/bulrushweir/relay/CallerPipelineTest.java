package org.bulrushweir.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests the order of requests on a connection, and what a stop leaves of them. */
class CallerPipelineTest {

  private static final String SEED = "37";
  private static final int STEPS = 200;
  private static final int MAX_PARTS = 3;

  /**
   * A part of a request.
   *
   * @param request the number of the request
   * @param last whether the request ends with it
   */
  private record Part(int request, boolean last) {}

  @Test
  void messageThatArrivesWhileOthersWaitIsHandledAfterThem() {
    final CallerPipeline<String> pipeline = new CallerPipeline<>();
    pipeline.add("first");
    assertEquals(Optional.of("first"), pipeline.next());
    pipeline.startServing(true);
    pipeline.add("second");
    assertEquals(Optional.empty(), pipeline.next());
    assertTrue(pipeline.startResponse(false));
    assertTrue(pipeline.endResponse());
    pipeline.add("third");
    assertEquals(Optional.of("second"), pipeline.next());
    assertEquals(Optional.of("third"), pipeline.next());
  }

  @Test
  void lastResponseOfDrainingProcessEndsTheConnection() {
    final CallerPipeline<String> pipeline = new CallerPipeline<>();
    pipeline.startServing(true);
    pipeline.add("second");
    assertTrue(pipeline.startResponse(true));
    assertTrue(pipeline.endResponse());
    assertEquals(Optional.of("second"), pipeline.next());
    pipeline.startServing(true);
    assertFalse(pipeline.startResponse(true));
    assertFalse(pipeline.endResponse());
    assertTrue(pipeline.isClosing());
  }

  @Test
  void connectionThatTheCallerEndsIsClosed() {
    final CallerPipeline<String> pipeline = new CallerPipeline<>();
    pipeline.startServing(false);
    pipeline.add("second");
    assertFalse(pipeline.startResponse(false));
    assertFalse(pipeline.endResponse());
    assertEquals(Optional.empty(), pipeline.next());
  }

  @Test
  void messageWithoutRoomIsTheLastOneOfTheConnection() {
    final CallerPipeline<Integer> pipeline = new CallerPipeline<>();
    pipeline.startServing(true);
    int added = 0;
    while (pipeline.add(added)) {
      added++;
    }
    assertEquals(32, added);
    assertTrue(pipeline.startResponse(true), "requests that wait come first");
    pipeline.endResponse();
    for (int number = 0; number < added; number++) {
      assertFalse(pipeline.isOverflowDue());
      assertEquals(Optional.of(number), pipeline.next());
    }
    assertTrue(pipeline.isOverflowDue());
    assertFalse(pipeline.add(added), "later messages would overtake the one without room");
    pipeline.startServing(false);
    assertFalse(pipeline.startResponse(false));
    assertFalse(pipeline.endResponse());
    assertFalse(pipeline.hasWaiting());
  }

  /**
   * Requests arrive in parts, responses start and end, and the process starts to drain, in random
   * order. Requests must be served in the order of their arrival, each once. Those that had arrived
   * when the last response of a draining process started must have been served by then.
   */
  @Property(seed = SEED)
  void requestsAreServedInOrderAndNoneIsLostAtStop(@ForAll final long seed) {
    final Random random = new Random(seed);
    final CallerPipeline<Part> pipeline = new CallerPipeline<>();
    final List<Integer> served = new ArrayList<>();
    int arriving = 0;
    int partsLeft = 1 + random.nextInt(MAX_PARTS);
    int arrived = 0;
    boolean draining = false;
    boolean responding = false;
    for (int step = 0; step < STEPS && !pipeline.isClosing(); step++) {
      switch (random.nextInt(4)) {
        case 0 -> {
          partsLeft--;
          final boolean added = pipeline.add(new Part(arriving, partsLeft == 0));
          if (added && partsLeft == 0) {
            arriving++;
            arrived++;
            partsLeft = 1 + random.nextInt(MAX_PARTS);
          }
        }
        case 1 -> handleNext(pipeline, served);
        case 2 -> {
          if (pipeline.isBusy() && !responding) {
            responding = true;
            if (!pipeline.startResponse(draining)) {
              assertEquals(arrived, served.size(), "requests that wait must be served first");
            }
          } else if (responding) {
            responding = false;
            pipeline.endResponse();
          }
        }
        default -> draining = draining || random.nextInt(20) == 0;
      }
    }
    for (int number = 0; number < served.size(); number++) {
      assertEquals(number, served.get(number));
    }
  }

  private static void handleNext(final CallerPipeline<Part> pipeline, final List<Integer> served) {
    final Optional<Part> part = pipeline.next();
    if (part.isPresent() && part.get().last()) {
      served.add(part.get().request());
      pipeline.startServing(true);
    }
  }
}
