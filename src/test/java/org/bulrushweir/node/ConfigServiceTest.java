package org.bulrushweir.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Random;
import java.util.function.LongSupplier;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import org.bulrushweir.configuration.ConfigHead;
import org.bulrushweir.configuration.ConfigMachine;
import org.bulrushweir.kernel.SystemClock;
import org.bulrushweir.platform.HttpPlatformStore;
import org.bulrushweir.standin.PlatformCopy;
import org.bulrushweir.standin.PlatformStandIn;
import org.bulrushweir.store.Row;
import org.bulrushweir.store.Transaction;
import org.bulrushweir.store.Write;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the configuration of a process whose store is restored from an older copy. */
class ConfigServiceTest {

  private static final long POLL_MS = 100;
  private static final long WAIT_MS = 5_000;

  private final ObjectMapper mapper = new ObjectMapper();
  private final PlatformStandIn platform =
      new PlatformStandIn("127.0.0.1", 0, new SystemClock(), 0);
  private final HttpPlatformStore store =
      new HttpPlatformStore(
          new OkHttpClient(), HttpUrl.get("http://127.0.0.1:" + platform.port()), WAIT_MS);
  private final ConfigService service = new ConfigService(store, new Random(1), POLL_MS);

  @AfterEach
  void close() {
    service.stop();
    platform.close();
  }

  private static String text(final long number) {
    return "[classes.quick]\npriority = " + number + "\n[organisations.org-a]\n";
  }

  private void accept(final long number) throws JsonProcessingException {
    final ConfigHead head =
        new ConfigHead(number, ConfigMachine.digest(text(number)), "nonce-" + number);
    store.putObject(head.objectKey(), text(number)).join();
    final String json = mapper.writeValueAsString(head);
    store
        .commit(
            new Transaction(
                List.of(),
                List.of(
                    new Write(ConfigHead.ROW_KEY, json),
                    new Write(ConfigHead.numberKey(number), json))))
        .join();
  }

  private long storedNumber() {
    final Row row = store.read(ConfigHead.ROW_KEY).join();
    try {
      return row.exists() ? mapper.readValue(row.value(), ConfigHead.class).number() : 0;
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void await(final long expected, final LongSupplier actual)
      throws InterruptedException {
    final long untilMs = System.currentTimeMillis() + WAIT_MS;
    while (actual.getAsLong() != expected && System.currentTimeMillis() < untilMs) {
      Thread.sleep(POLL_MS);
    }
    assertEquals(expected, actual.getAsLong());
  }

  @Test
  void configurationThatRestoredStoreLostIsWrittenBack()
      throws JsonProcessingException, InterruptedException {
    accept(1);
    service.start();
    await(1, service::number);
    final PlatformCopy copy = platform.copy();
    accept(2);
    await(2, service::number);
    platform.restore(copy);
    assertEquals(1, storedNumber());
    await(2, this::storedNumber);
    assertEquals(2, service.number());
    final ConfigService late = new ConfigService(store, new Random(2), POLL_MS);
    late.start();
    await(2, late::number);
    late.stop();
  }
}
