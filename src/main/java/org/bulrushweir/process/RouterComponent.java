package org.bulrushweir.process;

import dagger.BindsInstance;
import dagger.Component;
import javax.inject.Singleton;
import org.bulrushweir.kernel.Kernel;
import org.bulrushweir.settings.ProcessSettings;

/** Puts a router together. */
@Singleton
@Component(modules = {NodeModule.class, RouterModule.class})
public interface RouterComponent {

  /**
   * Returns the kernel that runs the router's services.
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
     * @param settings the router's settings
     * @return the component
     */
    RouterComponent create(@BindsInstance ProcessSettings settings);
  }
}
