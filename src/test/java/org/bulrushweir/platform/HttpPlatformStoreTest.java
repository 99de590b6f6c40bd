package org.bulrushweir.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import org.bulrushweir.kernel.SystemClock;
import org.bulrushweir.standin.PlatformFaults;
import org.bulrushweir.standin.PlatformStandIn;
import org.bulrushweir.store.ChangePage;
import org.bulrushweir.store.CommitResult;
import org.bulrushweir.store.HistoryLostException;
import org.bulrushweir.store.PlatformException;
import org.bulrushweir.store.Row;
import org.bulrushweir.store.RowChange;
import org.bulrushweir.store.SharedTable;
import org.bulrushweir.store.Transaction;
import org.bulrushweir.store.Vm;
import org.bulrushweir.testing.RawAnswer;
import org.bulrushweir.testing.Repetition;
import org.bulrushweir.testing.StutteringServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the client of the store against the stand-in. */
class HttpPlatformStoreTest {

  private static final long TIMEOUT_MS = 20_000;
  private static final long LOST_ANSWER_TIMEOUT_MS = 400;

  private final PlatformStandIn platform =
      new PlatformStandIn("127.0.0.1", 0, new SystemClock(), 0);
  private final OkHttpClient client = new OkHttpClient();
  private final HttpPlatformStore store =
      new HttpPlatformStore(client, HttpUrl.get("http://127.0.0.1:" + platform.port()), TIMEOUT_MS);
  private final HttpPlatformStore impatientStore =
      new HttpPlatformStore(
          client, HttpUrl.get("http://127.0.0.1:" + platform.port()), LOST_ANSWER_TIMEOUT_MS);

  @AfterEach
  void close() {
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
    platform.close();
  }

  @Test
  void racingWritersGetOneWinnerAndTheOtherItsRow() {
    assertInstanceOf(
        CommitResult.Committed.class, store.commit(Transaction.insert("a", "one")).join());
    final CommitResult second = store.commit(Transaction.insert("a", "two")).join();
    assertEquals("one", assertInstanceOf(CommitResult.Conflict.class, second).current().value());
    final Row row = store.read("a").join();
    store.commit(Transaction.delete(row)).join();
    assertFalse(store.read("a").join().exists());
  }

  @Test
  void scanReadsKeysThatStartAlike() {
    for (final String key : List.of("a/1", "a/2", "b/1")) {
      store.commit(Transaction.insert(key, key)).join();
    }
    assertEquals(List.of("a/1", "a/2"), store.scan("a/").join().stream().map(Row::key).toList());
  }

  @Test
  void lostAnswerLeavesTheEffectOpen() {
    assertFalse(store.read("a").join().exists());
    platform.misbehaveAs(new PlatformFaults(false, false, 0, 1, 0, false));
    final CompletionException failure =
        assertThrows(
            CompletionException.class,
            () -> impatientStore.commit(Transaction.insert("a", "x")).join());
    assertTrue(assertInstanceOf(PlatformException.class, failure.getCause()).effectPossible());
    assertEquals("x", store.read("a").join().value());
  }

  @Test
  void refusalHasCertainlyNoEffect() {
    platform.misbehaveAs(new PlatformFaults(true, false, 0, 0, 0, false));
    final CompletionException failure =
        assertThrows(
            CompletionException.class, () -> store.commit(Transaction.insert("a", "x")).join());
    assertFalse(assertInstanceOf(PlatformException.class, failure.getCause()).effectPossible());
  }

  @Test
  void changesAreToldAsTheyHappenAndRemovalsToo() {
    final ChangePage start = store.snapshot(SharedTable.ENDPOINTS).join();
    final CompletableFuture<ChangePage> waiting =
        store.changes(SharedTable.ENDPOINTS, start.version(), 5_000);
    platform.put(SharedTable.CONFIGURATION, "config", "of another table");
    platform.put(SharedTable.ENDPOINTS, "i-1", "here");
    final ChangePage first = waiting.join();
    assertEquals(Optional.of("here"), first.rows().getFirst().value());
    platform.put(SharedTable.ENDPOINTS, "i-1", null);
    final ChangePage second = store.changes(SharedTable.ENDPOINTS, first.version(), 5_000).join();
    assertEquals(Optional.empty(), second.rows().getFirst().value());
  }

  @Test
  void pollWithoutChangesAnswersAfterItsWait() {
    final ChangePage start = store.snapshot(SharedTable.ENDPOINTS).join();
    assertEquals(
        List.of(), store.changes(SharedTable.ENDPOINTS, start.version(), 100).join().rows());
  }

  /** Guards against a row without a value, as of an evacuation, that passes for a removed one. */
  @Test
  void rowWithoutValueIsThereUnlessItIsRemoved() throws IOException {
    try (StutteringServer server =
        new StutteringServer(
            Repetition.NONE,
            (path, number) ->
                RawAnswer.ok(
                    "{\"rows\":[{\"key\":\"a\",\"ver\":1},"
                        + "{\"key\":\"b\",\"value\":null,\"ver\":2},"
                        + "{\"key\":\"c\",\"ver\":3,\"tombstone\":true},"
                        + "{\"ver\":4},7],\"ver\":4}"))) {
      final HttpPlatformStore reader =
          new HttpPlatformStore(client, HttpUrl.get(server.url()), TIMEOUT_MS);
      assertEquals(
          List.of(
              new RowChange("a", Optional.of(""), 1),
              new RowChange("b", Optional.of(""), 2),
              new RowChange("c", Optional.empty(), 3)),
          reader.snapshot(SharedTable.CONFIGURATION).join().rows());
    }
  }

  /** Guards against a list of VMs that can't be read because of one entry. */
  @Test
  void entryOfVmsThatCanNotBeReadIsLeftOut() {
    final String proper =
        "{\"name\":\"e1\",\"role\":\"ENDPOINT\",\"host\":\"10.0.0.1\",\"peer_port\":7000,"
            + "\"zone\":\"zone-1\",\"service\":\"assistant\",\"state\":\"LIVE\"}";
    final String other = proper.replace("\"e1\"", "\"e2\"");
    platform.putVm("e1", proper);
    for (final String odd :
        List.of(
            other.replace("7000", "1e400"),
            other.replace("7000", "9".repeat(30)),
            other.replace("7000", "70000"),
            other.replace("7000", "0"),
            other.replace("\"e2\"", "null"),
            other.replace("\"e2\"", "\"not a name\""),
            other.replace("\"10.0.0.1\"", "null"),
            other.replace("\"zone-1\"", "\"\""),
            other.replace("\"LIVE\"", "\"RESTING\""),
            other.replace("\"LIVE\"", "null"),
            "[".repeat(20_000),
            "null",
            "7")) {
      platform.putVm("e2", odd);
      assertEquals(List.of("e1"), store.vms().join().stream().map(Vm::name).toList(), odd);
    }
    platform.putVm("e2", other);
    assertEquals(2, store.vms().join().size());
  }

  @Test
  void droppedHistoryIsReported() {
    platform.put(SharedTable.ENDPOINTS, "i-1", "here");
    platform.misbehaveAs(new PlatformFaults(false, false, 0, 0, 0, true));
    final CompletionException failure =
        assertThrows(
            CompletionException.class, () -> store.changes(SharedTable.ENDPOINTS, 0, 100).join());
    assertInstanceOf(HistoryLostException.class, failure.getCause());
  }

  /** Guards against answers without an era that pass for restorations, each with a snapshot. */
  @Test
  void answerThatStatesNoEraIsOfTheOneStatedBefore() throws IOException {
    try (StutteringServer server =
        new StutteringServer(
            Repetition.NONE,
            (path, number) ->
                new RawAnswer(
                    200,
                    number % 2 == 0 ? "Store-Era: " + (number < 4 ? 3 : 4) + "\r\n" : "",
                    "{\"rows\":[],\"ver\":1}"))) {
      final HttpPlatformStore follower =
          new HttpPlatformStore(client, HttpUrl.get(server.url()), TIMEOUT_MS);
      final List<Long> eras = new ArrayList<>();
      for (int call = 0; call < 6; call++) {
        eras.add(follower.changes(SharedTable.ENDPOINTS, 1, 0).join().era());
      }
      assertEquals(List.of(3L, 3L, 3L, 3L, 4L, 4L), eras);
    }
  }

  /** Guards against a list of VMs that can't be read because a row has no value. */
  @Test
  void rowOfVmsWithoutValueIsLeftOut() throws IOException {
    final String vm =
        "{\"name\":\"e1\",\"role\":\"ENDPOINT\",\"host\":\"10.0.0.1\",\"peer_port\":7000,"
            + "\"zone\":\"zone-1\",\"service\":\"assistant\",\"state\":\"LIVE\"}";
    final String value = Base64.getEncoder().encodeToString(vm.getBytes(StandardCharsets.UTF_8));
    try (StutteringServer server =
        new StutteringServer(
            Repetition.NONE,
            (path, number) ->
                RawAnswer.ok(
                    "{\"rows\":[{\"key\":\"e0\",\"ver\":1},{\"key\":\"e1\",\"value\":\""
                        + value
                        + "\",\"ver\":2},{\"key\":\"e2\",\"value\":null,\"ver\":3},"
                        + "{\"key\":\"e3\",\"value\":7,\"ver\":4},{\"ver\":5},7],\"ver\":5}"))) {
      final HttpPlatformStore reader =
          new HttpPlatformStore(client, HttpUrl.get(server.url()), TIMEOUT_MS);
      assertEquals(List.of("e1"), reader.vms().join().stream().map(Vm::name).toList());
    }
  }
}
