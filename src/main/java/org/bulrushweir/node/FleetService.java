package org.bulrushweir.node;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.bulrushweir.api.Clock;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.kernel.KernelService;
import org.bulrushweir.kernel.PeriodicTask;
import org.bulrushweir.membership.AgedReport;
import org.bulrushweir.membership.EndpointBackoff;
import org.bulrushweir.membership.EndpointInfo;
import org.bulrushweir.membership.EndpointReport;
import org.bulrushweir.membership.EndpointTable;
import org.bulrushweir.membership.GossipMessage;
import org.bulrushweir.membership.GossipSettings;
import org.bulrushweir.membership.GossipUpdate;
import org.bulrushweir.membership.PeerSelector.Peer;
import org.bulrushweir.membership.PoolStatistics;
import org.bulrushweir.routing.EndpointPool;
import org.bulrushweir.routing.EndpointPoolCache;
import org.bulrushweir.store.PlatformStore;
import org.bulrushweir.store.Vm;
import org.bulrushweir.store.VmRole;
import org.bulrushweir.wire.generated.Report;

/**
 * Keeps what this process knows of the fleet: the platform's list of VMs, which lags and goes on
 * unchanged while the platform is down, and what sidecars report, which is fresh.
 */
public final class FleetService implements KernelService {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How often old reports are forgotten, in milliseconds. */
  private static final long FORGET_INTERVAL_MS = 1_000;

  /** The latest reports; guarded by itself. */
  private final EndpointTable table;

  /** Which endpoints could not be reached; guarded by the table. */
  private final EndpointBackoff backoff = new EndpointBackoff();

  /** The endpoints of each service; guarded by the table. */
  private final ServiceMembers members;

  /** The endpoints of each service as routers choose among them; guarded by the table. */
  private final EndpointPoolCache pools;

  /** Polls the list of VMs. */
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().name("fleet").daemon().factory());

  /** The platform's store. */
  private final PlatformStore store;

  /** The clock. */
  private final Clock clock;

  /** How often the list of VMs is read, in milliseconds. */
  private final long pollIntervalMs;

  /** The last list of VMs. */
  private volatile VmDirectory vms = VmDirectory.EMPTY;

  /** Whether the last reading of the list succeeded; used by the executor only. */
  private boolean listReadable = true;

  /**
   * Creates the service.
   *
   * @param store the platform's store
   * @param clock the clock
   * @param random breaks ties
   * @param pollIntervalMs how often the list of VMs is read, in milliseconds
   */
  public FleetService(
      final PlatformStore store,
      final Clock clock,
      final RandomGenerator random,
      final long pollIntervalMs) {
    this.store = store;
    this.clock = clock;
    this.pollIntervalMs = pollIntervalMs;
    this.table = new EndpointTable(GossipSettings.DEFAULT, random);
    this.members = new ServiceMembers(table);
    this.pools = new EndpointPoolCache(table, backoff);
  }

  @Override
  public void start() {
    executor.scheduleWithFixedDelay(this::poll, 0, pollIntervalMs, TimeUnit.MILLISECONDS);
    executor.scheduleWithFixedDelay(
        new PeriodicTask("forget silent endpoints", this::forgetSilent),
        FORGET_INTERVAL_MS,
        FORGET_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    executor.shutdownNow();
  }

  private void poll() {
    try {
      final List<Vm> listed = store.vms().join();
      if (!listReadable) {
        listReadable = true;
        logger.atInfo().log("the list of VMs can be read again");
      }
      if (!vms.equalsList(listed)) {
        vms = new VmDirectory(listed);
        logger.atInfo().log("the list of VMs has changed: %s", listed);
      }
    } catch (RuntimeException e) {
      if (listReadable) {
        listReadable = false;
        logger.atWarning().log("the list of VMs can't be read: %s", e.getMessage());
      }
    }
  }

  private void forgetSilent() {
    synchronized (table) {
      table.removeExpired(clock.nowMs());
    }
  }

  /**
   * Lists the VMs.
   *
   * @return the last list that could be read
   */
  public List<Vm> vms() {
    return List.copyOf(vms.all());
  }

  /**
   * Lists the processes that this one may talk to.
   *
   * @param self this process
   * @return the peers on listed VMs
   */
  public List<Peer> peers(final NodeId self) {
    final List<Peer> peers = new ArrayList<>();
    for (final Vm vm : vms.all()) {
      if (!vm.name().equals(self.value())) {
        peers.add(
            new Peer(
                new NodeId(vm.name()),
                vm.host(),
                vm.peerPort(),
                new ZoneName(vm.zone()),
                vm.service()));
      }
    }
    return peers;
  }

  /**
   * Finds an endpoint.
   *
   * @param endpoint the endpoint
   * @return its description, if it is listed or was heard of
   */
  public Optional<EndpointInfo> find(final EndpointId endpoint) {
    final Optional<EndpointInfo> listed =
        vms.find(endpoint.value())
            .filter(vm -> vm.role() == VmRole.ENDPOINT)
            .map(VmDirectory::info);
    if (listed.isPresent()) {
      return listed;
    }
    synchronized (table) {
      return table.info(EndpointTable.key(endpoint));
    }
  }

  /**
   * Lists the endpoints of a service that take work, as far as this process knows.
   *
   * @param service the service
   * @return the endpoints, sorted
   */
  public List<EndpointId> endpoints(final ServiceName service) {
    synchronized (table) {
      return members.of(service, vms);
    }
  }

  /**
   * Returns the endpoints of a service to choose among.
   *
   * @param service the service
   * @return its endpoints that take work, as they are now
   */
  public EndpointPool pool(final ServiceName service) {
    synchronized (table) {
      return pools.pool(service, members.of(service, vms), clock.nowMs());
    }
  }

  /**
   * Takes a report that rode on a message.
   *
   * @param report the report
   */
  public void learn(final Report report) {
    learn(ReportMessages.fromWire(report));
  }

  /**
   * Takes a report.
   *
   * @param report the report
   */
  public void learn(final AgedReport report) {
    synchronized (table) {
      if (table.merge(report, clock.nowMs())) {
        describeListed(report.report());
      }
    }
  }

  /** Describes an endpoint from the list of VMs, which saves asking peers. */
  private void describeListed(final EndpointReport report) {
    vms.describe(report.key()).ifPresent(table::putInfo);
  }

  /**
   * Describes an endpoint to peers that ask.
   *
   * @param info the description
   */
  public void describe(final EndpointInfo info) {
    synchronized (table) {
      table.putInfo(info);
    }
  }

  /**
   * Returns fresh reports of a service's endpoints, to ride on a message to one of them.
   *
   * @param service the service
   * @param receiver the endpoint that the message goes to
   * @param limit how many at the most
   * @return the reports
   */
  public List<Report> reportsFor(
      final ServiceName service, final EndpointId receiver, final int limit) {
    synchronized (table) {
      return table.freshest(service, EndpointTable.key(receiver), limit, clock.nowMs()).stream()
          .map(ReportMessages::toWire)
          .toList();
    }
  }

  /**
   * Sums up the endpoints of a service.
   *
   * @param service the service
   * @param self the asking endpoint
   * @return the statistics
   */
  public PoolStatistics statistics(final ServiceName service, final EndpointId self) {
    synchronized (table) {
      return table.statistics(
          service, EndpointTable.key(self), members.of(service, vms).size(), clock.nowMs());
    }
  }

  /**
   * Returns the latest report of an endpoint.
   *
   * @param endpoint the endpoint
   * @return the report and its age, if the endpoint was heard of
   */
  public Optional<AgedReport> report(final EndpointId endpoint) {
    synchronized (table) {
      return table.report(EndpointTable.key(endpoint), clock.nowMs());
    }
  }

  /**
   * Counts the endpoints.
   *
   * @return how many were heard of
   */
  public int size() {
    synchronized (table) {
      return table.size();
    }
  }

  /**
   * Composes gossip to a peer.
   *
   * @param service the service of the peer's endpoint, empty for a router
   * @return the gossip
   */
  GossipMessage compose(final String service) {
    synchronized (table) {
      return table.compose(service, clock.nowMs());
    }
  }

  /**
   * Takes gossip of a peer.
   *
   * @param message the gossip
   * @return true if it has brought news that peers should hear at once
   */
  boolean receive(final GossipMessage message) {
    synchronized (table) {
      final GossipUpdate update = table.receive(message, clock.nowMs());
      update.reports().forEach(this::describeListed);
      return update.urgent();
    }
  }

  /**
   * Takes note that an endpoint could not be reached.
   *
   * @param endpoint the endpoint
   */
  public void failed(final EndpointId endpoint) {
    synchronized (table) {
      backoff.recordFailure(endpoint, clock.nowMs());
    }
  }

  /**
   * Takes note that an endpoint was reached.
   *
   * @param endpoint the endpoint
   */
  public void reached(final EndpointId endpoint) {
    synchronized (table) {
      backoff.recordSuccess(endpoint);
    }
  }
}
