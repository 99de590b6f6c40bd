package org.bulrushweir.kernel;

/** Finds the services of a process by name. */
public interface ServiceRegistry {

  /**
   * Finds a service, building it if need be.
   *
   * @param <T> the service's type
   * @param name the service's name
   * @param type the service's type
   * @return the service
   * @throws IllegalStateException if there is no such service or it needs itself
   */
  <T extends KernelService> T find(String name, Class<T> type);
}
