package org.bulrushweir.node;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.kernel.KernelService;
import org.bulrushweir.platform.PlatformStore;
import org.bulrushweir.platform.Vm;
import org.bulrushweir.platform.VmRole;

/** Keeps the platform's list of VMs, and goes on with the last one while the platform is down. */
public final class DirectoryService implements KernelService {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long POLL_INTERVAL_MS = 1_000;

  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().name("directory").daemon().factory());
  private final PlatformStore store;
  private volatile List<Vm> vms = List.of();

  /**
   * Creates the service.
   *
   * @param store the platform's store
   */
  public DirectoryService(final PlatformStore store) {
    this.store = store;
  }

  @Override
  public void start() {
    executor.scheduleWithFixedDelay(this::poll, 0, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    executor.shutdownNow();
  }

  private void poll() {
    try {
      vms = store.vms().join();
    } catch (RuntimeException e) {
      logger.atFine().log("the list of VMs can't be read: %s", e.getMessage());
    }
  }

  /**
   * Lists the VMs.
   *
   * @return the last list that could be read
   */
  public List<Vm> vms() {
    return vms;
  }

  /**
   * Lists the endpoint VMs of a service.
   *
   * @param service the service
   * @return its VMs, live or leaving
   */
  public List<Vm> endpointsOf(final ServiceName service) {
    return vms.stream()
        .filter(vm -> vm.role() == VmRole.ENDPOINT && vm.service().equals(service.value()))
        .toList();
  }

  /**
   * Finds an endpoint's VM.
   *
   * @param endpoint the endpoint
   * @return its VM, if it is listed
   */
  public Optional<Vm> find(final EndpointId endpoint) {
    return vms.stream().filter(vm -> vm.name().equals(endpoint.value())).findFirst();
  }
}
