package org.bulrushweir.platform;

import java.util.Optional;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.FindingCollector;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.api.ZoneName;
import org.bulrushweir.store.Vm;
import org.bulrushweir.store.VmRole;
import org.bulrushweir.store.VmState;
import org.bulrushweir.wire.RemoteAddress;

/** Decodes the entries of the list of VMs, which others may have written too. */
final class VmDecoder {

  private static final String SERVICE = "service";
  private static final String PEER_PORT = "peer_port";

  private VmDecoder() {}

  /**
   * Decodes an entry.
   *
   * @param key the row's key
   * @param text the row's value
   * @param findings why it can't be used
   * @return the VM, empty if there is any finding
   */
  static Optional<Vm> decode(final String key, final String text, final FindingCollector findings) {
    return JsonReader.parse("VM " + key, text, findings)
        .flatMap(reader -> decode(reader, findings));
  }

  private static Optional<Vm> decode(final JsonReader reader, final FindingCollector findings) {
    final Optional<EndpointId> name = reader.value("name", EndpointId::new);
    final Optional<VmRole> role = reader.value("role", VmRole::valueOf);
    final Optional<ZoneName> zone = reader.value("zone", ZoneName::new);
    final Optional<VmState> state = reader.value("state", VmState::valueOf);
    final String service = reader.text(SERVICE);
    if (!service.isEmpty()) {
      reader.value(SERVICE, ServiceName::new);
    }
    final int peerPort = reader.intNumber(PEER_PORT);
    final Optional<RemoteAddress> address =
        reader.value("host", host -> new RemoteAddress(host, peerPort));
    if (!findings.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new Vm(
            name.get().value(),
            role.get(),
            address.get().host(),
            peerPort,
            zone.get().value(),
            service,
            state.get()));
  }
}
