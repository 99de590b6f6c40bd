package org.bulrushweir.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bulrushweir.api.Identifiers;
import org.bulrushweir.api.NodeId;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.dispatch.PeerDemand;
import org.bulrushweir.dispatch.ServiceDispatcher;
import org.bulrushweir.wire.generated.OrganisationWork;
import org.bulrushweir.wire.generated.RouterReport;
import org.bulrushweir.wire.generated.ServiceDemand;

/**
 * The part of the reports on requests that wait, and on the work done for organisations.
 *
 * <p>Confined to the event loop.
 */
final class DemandSection implements ReportSection {

  /** The greatest number of services in a report. */
  private static final int MAX_SERVICES = 32;

  /** The greatest plausible number of waiting requests of a rank. */
  private static final int MAX_WAITING = 100_000;

  private final Map<ServiceName, ServiceDispatcher> services;

  /**
   * Creates the section.
   *
   * @param services the dispatchers by service, which the gate adds to
   */
  DemandSection(final Map<ServiceName, ServiceDispatcher> services) {
    this.services = services;
  }

  @Override
  public void write(final RouterReport.Builder report, final long nowMs) {
    services.forEach(
        (service, dispatcher) -> {
          if (report.getDemandsCount() < MAX_SERVICES) {
            dispatcher
                .demand(nowMs)
                .ifPresent(demand -> report.addDemands(encode(service, demand)));
          }
        });
  }

  private static ServiceDemand encode(final ServiceName service, final PeerDemand demand) {
    final ServiceDemand.Builder message =
        ServiceDemand.newBuilder().setService(service.value()).addAllWaiting(demand.waiting());
    demand
        .work()
        .forEach(
            (organisation, work) ->
                message.addOrganisations(
                    OrganisationWork.newBuilder()
                        .setOrganisation(organisation.value())
                        .setWork(Math.round(work))));
    return message.build();
  }

  @Override
  public void read(final NodeId sender, final RouterReport report, final long nowMs) {
    for (final ServiceDemand message : report.getDemandsList()) {
      if (Identifiers.isValid(message.getService())) {
        final ServiceDispatcher dispatcher = services.get(new ServiceName(message.getService()));
        if (dispatcher != null) {
          dispatcher.recordPeer(sender, decode(message), nowMs);
        }
      }
    }
  }

  private static PeerDemand decode(final ServiceDemand message) {
    final List<Integer> waiting =
        message.getWaitingList().stream()
            .limit(PeerDemand.MAX_RANKS)
            .map(count -> Math.clamp(count, 0, MAX_WAITING))
            .toList();
    final Map<OrganisationId, Double> work = new HashMap<>();
    for (final OrganisationWork entry : message.getOrganisationsList()) {
      if (work.size() < PeerDemand.MAX_ORGANISATIONS
          && entry.getWork() >= 0
          && Identifiers.isValid(entry.getOrganisation())) {
        work.put(new OrganisationId(entry.getOrganisation()), (double) entry.getWork());
      }
    }
    return new PeerDemand(waiting, work);
  }
}
