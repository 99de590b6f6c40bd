package org.bulrushweir.node;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.membership.EndpointInfo;
import org.bulrushweir.membership.EndpointTable;
import org.bulrushweir.store.Vm;
import org.bulrushweir.store.VmRole;

/** Holds one state of the platform's list of VMs, found by name or by endpoint key. */
final class VmDirectory {

  /** The list before the platform's list was read for the first time. */
  static final VmDirectory EMPTY = new VmDirectory(List.of());

  /** The VMs by name. */
  private final Map<String, Vm> byName = new HashMap<>();

  /** The VMs of endpoints by the endpoints' keys. */
  private final Map<Long, Vm> endpoints = new HashMap<>();

  /**
   * Creates a directory.
   *
   * @param vms the VMs
   */
  VmDirectory(final List<Vm> vms) {
    for (final Vm vm : vms) {
      byName.put(vm.name(), vm);
      if (vm.role() == VmRole.ENDPOINT) {
        endpoints.put(EndpointTable.key(new EndpointId(vm.name())), vm);
      }
    }
  }

  /**
   * Tells whether a list says the same as this one.
   *
   * @param vms the VMs
   * @return true if it does, in whichever order
   */
  boolean equalsList(final List<Vm> vms) {
    return vms.size() == byName.size()
        && vms.stream().allMatch(vm -> vm.equals(byName.get(vm.name())));
  }

  /**
   * Lists the VMs.
   *
   * @return all of them
   */
  Collection<Vm> all() {
    return byName.values();
  }

  /**
   * Lists the VMs that carry endpoints.
   *
   * @return the VMs of endpoints
   */
  Collection<Vm> endpoints() {
    return endpoints.values();
  }

  /**
   * Finds a VM.
   *
   * @param name its name
   * @return the VM, if it is listed
   */
  Optional<Vm> find(final String name) {
    return Optional.ofNullable(byName.get(name));
  }

  /**
   * Describes the endpoint that has a key.
   *
   * @param key the endpoint's key
   * @return its description, if its VM is listed
   */
  Optional<EndpointInfo> describe(final long key) {
    return Optional.ofNullable(endpoints.get(key)).map(VmDirectory::info);
  }

  /**
   * Describes the endpoint on a VM.
   *
   * @param vm the VM
   * @return the description
   */
  static EndpointInfo info(final Vm vm) {
    return new EndpointInfo(
        new EndpointId(vm.name()),
        vm.host(),
        vm.peerPort(),
        new ZoneName(vm.zone()),
        new ServiceName(vm.service()));
  }
}
