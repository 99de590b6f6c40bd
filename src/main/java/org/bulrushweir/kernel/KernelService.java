package org.bulrushweir.kernel;

/** A part of a process that is started and stopped with it. */
public interface KernelService {

  /** Starts the service; the services that it was built with have been started. */
  void start();

  /** Stops the service gracefully; may take as long as its work in flight. */
  void stop();
}
