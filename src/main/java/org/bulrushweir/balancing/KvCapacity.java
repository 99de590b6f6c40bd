package org.bulrushweir.balancing;

import org.bulrushweir.api.ServiceName;

/** Supplies the KV cache capacity of the engines of a service. */
@FunctionalInterface
public interface KvCapacity {

  /**
   * Returns the KV cache capacity of each engine of a service.
   *
   * @param service the service
   * @return the capacity in tokens, zero if it is unknown
   */
  long tokens(ServiceName service);
}
