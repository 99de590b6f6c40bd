package org.bulrushweir.kernel;

/** Builds a service out of others. */
@FunctionalInterface
public interface ServiceFactory {

  /**
   * Builds the service.
   *
   * @param services where it finds the services that it needs
   * @return the service, not started yet
   */
  KernelService create(ServiceRegistry services);
}
