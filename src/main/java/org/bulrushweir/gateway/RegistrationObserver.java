package org.bulrushweir.gateway;

import org.bulrushweir.catalog.EndpointRecord;

/** Receives the registrations of endpoints as they are read. */
@FunctionalInterface
interface RegistrationObserver {

  /**
   * Records a registration, which the directory may ignore.
   *
   * @param endpoint the endpoint as registered
   * @param version the version of the registration's row
   */
  void observe(EndpointRecord endpoint, long version);
}
