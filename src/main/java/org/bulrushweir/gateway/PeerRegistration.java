package org.bulrushweir.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.store.ChangeFeed;
import org.bulrushweir.store.ChangePage;
import org.bulrushweir.store.SharedTable;

/** Registers this gateway in the store and reads where the others are. */
final class PeerRegistration {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How often registrations of gateways are read, in milliseconds; new ones report themselves. */
  private static final long READ_INTERVAL_MS = 15_000;

  /** The pause before a failed call is tried again, in milliseconds. */
  private static final long RETRY_MS = 1_000;

  private final NodeId self;
  private final ChangeFeed feed;
  private final PeerMesh mesh;
  private final EventLoop loop;
  private boolean failing;

  /**
   * Creates the registration of a gateway.
   *
   * @param self the gateway
   * @param feed the store
   * @param mesh knows where this gateway takes reports, and learns where others do
   * @param loop the event loop
   */
  PeerRegistration(
      final NodeId self, final ChangeFeed feed, final PeerMesh mesh, final EventLoop loop) {
    this.self = self;
    this.feed = feed;
    this.mesh = mesh;
    this.loop = loop;
  }

  /** Registers this gateway, and reads the registrations of others from now on. */
  void start() {
    register();
    read();
  }

  private void register() {
    feed.put(SharedTable.ROUTERS, self.value(), mesh.registration())
        .whenComplete((done, failure) -> loop.execute(() -> registered(failure)));
  }

  private void registered(final Throwable failure) {
    if (failure == null) {
      logger.atInfo().log("registered as %s", mesh.registration());
      return;
    }
    lost("could not register", failure);
    loop.schedule(this::register, RETRY_MS, TimeUnit.MILLISECONDS);
  }

  private void read() {
    feed.snapshot(SharedTable.ROUTERS)
        .whenComplete((page, failure) -> loop.execute(() -> wasRead(page, failure)));
  }

  private void wasRead(final ChangePage page, final Throwable failure) {
    if (failure != null) {
      lost("the registrations of gateways can't be read", failure);
      loop.schedule(this::read, RETRY_MS, TimeUnit.MILLISECONDS);
      return;
    }
    if (failing) {
      failing = false;
      logger.atInfo().log("the registrations of gateways can be read again");
    }
    mesh.registered(page.rows());
    loop.schedule(this::read, READ_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void lost(final String what, final Throwable failure) {
    if (!failing) {
      failing = true;
      logger.atWarning().log("%s: %s", what, failure.getMessage());
    }
  }
}
