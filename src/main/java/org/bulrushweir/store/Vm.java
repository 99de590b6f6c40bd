package org.bulrushweir.store;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Describes a VM as the platform lists it.
 *
 * @param name the VM's name, equal to the id of the process on it
 * @param role what the VM is there for
 * @param host the VM's IP number
 * @param peerPort the port at which the fleet's process takes connections of its peers
 * @param zone the availability zone
 * @param service the service that the endpoint belongs to, empty for entry VMs
 * @param state whether the VM is live or leaving
 */
public record Vm(
    @JsonProperty("name") String name,
    @JsonProperty("role") VmRole role,
    @JsonProperty("host") String host,
    @JsonProperty("peer_port") int peerPort,
    @JsonProperty("zone") String zone,
    @JsonProperty("service") String service,
    @JsonProperty("state") VmState state) {}
