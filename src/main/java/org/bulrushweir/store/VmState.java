package org.bulrushweir.store;

/** The states in which the platform lists a VM. */
public enum VmState {
  /** The VM runs. */
  LIVE,
  /** The VM is about to be taken away. */
  LEAVING
}
