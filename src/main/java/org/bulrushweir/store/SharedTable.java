package org.bulrushweir.store;

/** The tables whose changes processes follow. */
public enum SharedTable {
  /** What operators have put in force. */
  CONFIGURATION,
  /** The registrations of endpoints. */
  ENDPOINTS,
  /** The routers' own registrations. */
  ROUTERS
}
