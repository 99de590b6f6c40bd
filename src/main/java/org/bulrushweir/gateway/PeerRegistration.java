package org.bulrushweir.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.store.ChangeFeed;
import org.bulrushweir.store.ChangePage;
import org.bulrushweir.store.SharedTable;

/** Registers this gateway in the store and periodically reads the registrations of the others. */
final class PeerRegistration {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * The time between two reads of the gateways' registrations, in milliseconds. A new gateway also
   * announces itself through its reports.
   */
  private static final long READ_INTERVAL_MS = 15_000;

  /** The delay before a failed call is retried, in milliseconds. */
  private static final long RETRY_MS = 1_000;

  private final NodeId self;
  private final ChangeFeed feed;
  private final PeerMesh mesh;
  private final EventLoop loop;
  private boolean failing;

  /**
   * Creates the registration of a gateway.
   *
   * @param self the gateway's id
   * @param feed the store's change feed
   * @param mesh supplies this gateway's address and receives those of the others
   * @param loop the event loop
   */
  PeerRegistration(
      final NodeId self, final ChangeFeed feed, final PeerMesh mesh, final EventLoop loop) {
    this.self = self;
    this.feed = feed;
    this.mesh = mesh;
    this.loop = loop;
  }

  /** Registers this gateway and starts to read the registrations of the others. */
  void start() {
    register();
    read();
  }

  /**
   * Wraps the listener of a followed table, so that this gateway registers again after the store
   * was restored from an older copy, which may not hold its row.
   *
   * @param listener receives all notifications of the table
   * @return the wrapping listener
   */
  TableListener wrap(final TableListener listener) {
    return new ForwardingTableListener(listener) {
      @Override
      public void onRestored(final long answeredUntilMs) {
        super.onRestored(answeredUntilMs);
        register();
      }
    };
  }

  private void register() {
    feed.put(SharedTable.ROUTERS, self.value(), mesh.registration())
        .whenComplete((ignored, failure) -> loop.execute(() -> onRegistered(failure)));
  }

  private void onRegistered(final Throwable failure) {
    if (failure == null) {
      logger.atInfo().log("registered this gateway at %s", mesh.registration());
      readOnce();
      return;
    }
    logFailure("failed to register this gateway", failure);
    loop.schedule(this::register, RETRY_MS, TimeUnit.MILLISECONDS);
  }

  private void read() {
    feed.snapshot(SharedTable.ROUTERS)
        .whenComplete((page, failure) -> loop.execute(() -> onRead(page, failure)));
  }

  /**
   * Reads the registrations after this gateway's own is written. Of two gateways that start
   * together at least one then knows the other, and its reports make it known.
   */
  private void readOnce() {
    feed.snapshot(SharedTable.ROUTERS)
        .thenAccept(page -> loop.execute(() -> mesh.addRegistered(page.rows())));
  }

  private void onRead(final ChangePage page, final Throwable failure) {
    if (failure != null) {
      logFailure("failed to read the registrations of the gateways", failure);
      loop.schedule(this::read, RETRY_MS, TimeUnit.MILLISECONDS);
      return;
    }
    if (failing) {
      failing = false;
      logger.atInfo().log("reading the registrations of the gateways succeeds again");
    }
    mesh.addRegistered(page.rows());
    loop.schedule(this::read, READ_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void logFailure(final String what, final Throwable failure) {
    if (!failing) {
      failing = true;
      logger.atWarning().log("%s: %s", what, failure.getMessage());
    }
  }
}
