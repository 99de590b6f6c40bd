package org.bulrushweir.node;

/** The names by which the services of a process find each other. */
public final class ServiceNames {

  /** The client of the platform. */
  public static final String PLATFORM = "platform";

  /** The configuration in force. */
  public static final String CONFIGURATION = "configuration";

  /** The connections with peers. */
  public static final String PEERS = "peers";

  /** What the process knows of the fleet. */
  public static final String FLEET = "fleet";

  /** The exchange of reports with peers. */
  public static final String GOSSIP = "gossip";

  /** The HTTP server for callers and operators. */
  public static final String HTTP = "http";

  /** The router's links to endpoints. */
  public static final String LINKS = "links";

  /** The sidecar's admission and runs. */
  public static final String SIDECAR = "sidecar";

  /** The orders to the engine. */
  public static final String ORDERS = "orders";

  /** The answers to operators' questions. */
  public static final String ADMIN = "admin";

  /** The socket for the callers of a gateway. */
  public static final String CALLERS_SOCKET = "callers-socket";

  /** The thread of a gateway. */
  public static final String EVENT_LOOP = "event-loop";

  /** The gateway itself. */
  public static final String GATEWAY = "gateway";

  private ServiceNames() {}
}
