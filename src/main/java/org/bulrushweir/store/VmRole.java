package org.bulrushweir.store;

/** What a VM is there for. */
public enum VmRole {
  /** An entry VM, on which a router runs. */
  ENTRY,
  /** An endpoint VM, on which a sidecar runs beside the endpoint. */
  ENDPOINT
}
