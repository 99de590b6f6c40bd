package org.bulrushweir.capacity;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.SplittableRandom;
import org.bulrushweir.affinity.ChatLocation;
import org.bulrushweir.affinity.ChatLocationMap;
import org.bulrushweir.api.AttemptKey;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.Incarnation;
import org.bulrushweir.api.RequestId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.delivery.AnswerBuffer;
import org.bulrushweir.delivery.AnswerPart;
import org.bulrushweir.delivery.AttemptLedger;
import org.bulrushweir.delivery.AttemptState;
import org.bulrushweir.membership.AgedReport;
import org.bulrushweir.membership.EndpointInfo;
import org.bulrushweir.membership.EndpointReport;
import org.bulrushweir.membership.EndpointTable;
import org.bulrushweir.membership.GossipSettings;
import org.junit.jupiter.api.Test;

/** Measures how much memory the state of a process takes, and holds it to its targets. */
class StateSizeTest {

  private static final long NOW_MS = 1_000_000;
  private static final double CHAT_TARGET_BYTES = 100;
  private static final double ENDPOINT_TARGET_BYTES = 2_000;
  private static final double ATTEMPT_TARGET_BYTES = 400;
  private static final double TOKEN_TARGET_BYTES = 200;

  private static void report(
      final String what, final int count, final double each, final double target) {
    System.out.printf("state: %d %s: %.0f bytes each%n", count, what, each);
    assertTrue(each <= target, () -> each + " bytes");
  }

  @Test
  void rememberedChats() {
    for (final int chats : new int[] {10_000, 100_000, 1_000_000}) {
      final long bytes = Heap.bytesOf(() -> memory(chats));
      report("remembered chats", chats, bytes / (double) chats, CHAT_TARGET_BYTES);
    }
  }

  private static ChatLocationMap memory(final int chats) {
    final SplittableRandom random = new SplittableRandom(1);
    final ChatLocationMap locations = new ChatLocationMap(2 * chats, NOW_MS);
    final EndpointId endpoint = new EndpointId("engine-1");
    for (int count = 0; count < chats; count++) {
      locations.put(random.nextLong() | 1, new ChatLocation(endpoint, 1_000, NOW_MS));
    }
    return locations;
  }

  @Test
  void knownEndpoints() {
    for (final int endpoints : new int[] {100, 600, 2_000}) {
      final long bytes = Heap.bytesOf(() -> table(endpoints));
      report("known endpoints", endpoints, bytes / (double) endpoints, ENDPOINT_TARGET_BYTES);
    }
  }

  private static EndpointTable table(final int endpoints) {
    final EndpointTable table = new EndpointTable(GossipSettings.DEFAULT, new SplittableRandom(1));
    for (int index = 0; index < endpoints; index++) {
      final EndpointId id = new EndpointId("endpoint-of-zone-1-number-" + index);
      table.merge(
          new AgedReport(
              new EndpointReport(
                  EndpointTable.key(id), new Incarnation(NOW_MS), 1, false, 1_000, 20_000),
              0),
          NOW_MS);
      table.putInfo(
          new EndpointInfo(
              id,
              "10.0.0." + index,
              7_400,
              new ZoneName("cantabrico-1"),
              new ServiceName("assistant-" + index)));
    }
    return table;
  }

  @Test
  void settledAttempts() {
    for (final int attempts : new int[] {1_000, 10_000, 100_000}) {
      final long bytes = Heap.bytesOf(() -> ledger(attempts));
      report("settled attempts", attempts, bytes / (double) attempts, ATTEMPT_TARGET_BYTES);
    }
  }

  private static AttemptLedger ledger(final int attempts) {
    final AttemptLedger ledger = new AttemptLedger(new Incarnation(NOW_MS));
    for (int index = 0; index < attempts; index++) {
      ledger.put(new AttemptKey(new RequestId(index), 1), AttemptState.ENDED, NOW_MS);
    }
    return ledger;
  }

  @Test
  void bufferedTokens() {
    for (final int tokens : new int[] {1_000, 10_000, 100_000}) {
      final long bytes = Heap.bytesOf(() -> buffer(tokens));
      report("buffered tokens", tokens, bytes / (double) tokens, TOKEN_TARGET_BYTES);
    }
  }

  private static AnswerBuffer buffer(final int tokens) {
    final AnswerBuffer buffer = new AnswerBuffer();
    for (int index = 0; index < tokens; index++) {
      buffer.append(new AnswerPart(ByteString.copyFromUtf8(" word" + index % 100), 1));
    }
    return buffer;
  }
}
