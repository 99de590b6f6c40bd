package org.bulrushweir.process;

import dagger.BindsInstance;
import dagger.Component;
import javax.inject.Singleton;
import org.bulrushweir.api.Clock;
import org.bulrushweir.kernel.Kernel;
import org.bulrushweir.kernel.StopSignal;
import org.bulrushweir.logging.AsyncLogWriter;
import org.bulrushweir.settings.GatewaySettings;

/** Puts a gateway together. */
@Singleton
@Component(modules = GatewayModule.class)
public interface GatewayComponent {

  /**
   * Returns the kernel that runs the gateway's services.
   *
   * @return the kernel, not started yet
   */
  Kernel kernel();

  /**
   * Returns the process's clock.
   *
   * @return the clock
   */
  Clock clock();

  /**
   * Returns what tells the services when the process was told to stop.
   *
   * @return the signal, to be recorded before the kernel is stopped
   */
  StopSignal stopSignal();

  /** Creates the component. */
  @Component.Factory
  interface Factory {

    /**
     * Creates the component.
     *
     * @param settings the gateway's settings
     * @param log writes its log
     * @return the component
     */
    GatewayComponent create(
        @BindsInstance GatewaySettings settings, @BindsInstance AsyncLogWriter log);
  }
}
