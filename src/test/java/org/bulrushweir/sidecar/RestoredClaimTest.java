package org.bulrushweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import org.bulrushweir.delivery.RefusalKind;
import org.bulrushweir.engine.EngineResult;
import org.bulrushweir.kernel.SystemClock;
import org.bulrushweir.platform.HttpPlatformStore;
import org.bulrushweir.runonce.ClaimMachine;
import org.bulrushweir.runonce.ClaimOutcome;
import org.bulrushweir.runonce.ClaimRow;
import org.bulrushweir.runonce.ClaimState;
import org.bulrushweir.standin.PlatformCopy;
import org.bulrushweir.standin.PlatformStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests claims of requests that must not repeat when the store is restored from an older copy. */
class RestoredClaimTest {

  private static final long TIMEOUT_MS = 5_000;
  private static final String KEY = "claims/key-1";

  private final SystemClock clock = new SystemClock();
  private final PlatformStandIn platform = new PlatformStandIn("127.0.0.1", 0, clock, 0);
  private final HttpPlatformStore store =
      new HttpPlatformStore(
          new OkHttpClient(), HttpUrl.get("http://127.0.0.1:" + platform.port()), TIMEOUT_MS);
  private final AtomicInteger runs = new AtomicInteger();

  @AfterEach
  void close() {
    platform.close();
  }

  private void request(final String nonce, final Runnable whileRunning)
      throws InterruptedException {
    final ClaimRow claim = new ClaimRow(nonce, "digest", "orders-1", 1, ClaimState.CLAIMED, null);
    new ClaimExecutor(
            new ClaimMachine(claim, clock.nowMs() + TIMEOUT_MS),
            new ClaimStore(store, KEY),
            clock,
            () -> {
              runs.incrementAndGet();
              whileRunning.run();
              return new EngineResult.Answered(200, "text/plain", new byte[] {'x'});
            },
            new IgnoredResult())
        .run();
  }

  @Test
  void claimOfRequestThatRunsDuringRestorationIsWrittenBack() throws InterruptedException {
    final PlatformCopy copy = platform.copy();
    request("first", () -> platform.restore(copy));
    request("second", () -> {});
    assertEquals(1, runs.get());
  }

  @Test
  void requestThatRanBeforeRestorationDoesNotRunAgain() throws InterruptedException {
    final PlatformCopy copy = platform.copy();
    request("first", () -> {});
    platform.restore(copy);
    request("second", () -> {});
    assertEquals(1, runs.get());
  }

  /** The results are checked by the number of runs. */
  private static final class IgnoredResult implements ClaimExecutor.Listener {

    @Override
    public void onRan(final ClaimOutcome outcome, final boolean replayed) {
      // Only the number of runs counts.
    }

    @Override
    public void onNotRun(final RefusalKind kind, final String detail) {
      throw new IllegalStateException(detail);
    }

    @Override
    public void onUnknown(final String detail) {
      throw new IllegalStateException(detail);
    }
  }
}
