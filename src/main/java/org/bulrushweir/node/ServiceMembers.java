package org.bulrushweir.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.membership.EndpointInfo;
import org.bulrushweir.membership.EndpointTable;
import org.bulrushweir.store.Vm;
import org.bulrushweir.store.VmState;

/**
 * Lists the endpoints of each service that take work: what is listed, unless it is leaving, and
 * what was heard of. Keeps the lists until something changes. Not safe for use by many threads.
 */
final class ServiceMembers {

  /** The lists that were made since the last change. */
  private final Map<ServiceName, List<EndpointId>> members = new HashMap<>();

  /** The latest reports. */
  private final EndpointTable table;

  /** The VMs of which the lists were made. */
  private VmDirectory directory = VmDirectory.EMPTY;

  /** The version of the table of which the lists were made. */
  private long version = -1;

  /**
   * Creates lists that know nothing.
   *
   * @param table the latest reports
   */
  ServiceMembers(final EndpointTable table) {
    this.table = table;
  }

  /**
   * Lists the endpoints of a service.
   *
   * @param service the service
   * @param latest the VMs
   * @return its endpoints that take work, sorted
   */
  List<EndpointId> of(final ServiceName service, final VmDirectory latest) {
    if (latest != directory || table.version() != version) {
      members.clear();
      directory = latest;
      version = table.version();
    }
    return members.computeIfAbsent(service, this::compute);
  }

  private List<EndpointId> compute(final ServiceName service) {
    final Set<EndpointId> known = new TreeSet<>();
    for (final EndpointInfo info : table.infos()) {
      if (info.service().equals(service)) {
        known.add(info.id());
      }
    }
    for (final Vm vm : directory.endpoints()) {
      if (vm.service().equals(service.value())) {
        addOrRemove(known, vm);
      }
    }
    known.removeIf(endpoint -> table.isLeaving(EndpointTable.key(endpoint)));
    return List.copyOf(known);
  }

  private static void addOrRemove(final Set<EndpointId> known, final Vm vm) {
    if (vm.state() == VmState.LEAVING) {
      known.remove(new EndpointId(vm.name()));
    } else {
      known.add(new EndpointId(vm.name()));
    }
  }
}
