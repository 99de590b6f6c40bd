package org.bulrushweir.process;

import dagger.BindsInstance;
import dagger.Component;
import javax.inject.Singleton;
import org.bulrushweir.kernel.Kernel;
import org.bulrushweir.settings.ProcessSettings;

/** Puts a sidecar together. */
@Singleton
@Component(modules = {NodeModule.class, SidecarModule.class})
public interface SidecarComponent {

  /**
   * Returns the kernel that runs the sidecar's services.
   *
   * @return the kernel, not started yet
   */
  Kernel kernel();

  /** Creates the component. */
  @Component.Factory
  interface Factory {

    /**
     * Creates the component.
     *
     * @param settings the sidecar's settings
     * @return the component
     */
    SidecarComponent create(@BindsInstance ProcessSettings settings);
  }
}
