package org.bulrushweir.process;

import dagger.Module;
import dagger.Provides;
import java.util.Map;
import javax.inject.Singleton;
import org.bulrushweir.api.Clock;
import org.bulrushweir.kernel.Kernel;
import org.bulrushweir.kernel.ServiceFactory;
import org.bulrushweir.kernel.SystemClock;

/** Provides what all processes have in common. */
@Module
final class KernelModule {

  private KernelModule() {}

  @Provides
  @Singleton
  static Clock clock() {
    return new SystemClock();
  }

  @Provides
  @Singleton
  static Kernel kernel(final Map<String, ServiceFactory> factories) {
    return new Kernel(factories);
  }
}
