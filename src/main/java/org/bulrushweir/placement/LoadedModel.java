package org.bulrushweir.placement;

import java.util.List;
import org.bulrushweir.api.ModelName;
import org.bulrushweir.declaration.ModelDeclaration;

/**
 * A model with its version and adapters that an engine has loaded or is to load.
 *
 * @param name the model's name
 * @param version the model's version
 * @param adapters the names of its adapters, empty if there are none
 */
public record LoadedModel(ModelName name, String version, List<String> adapters) {

  /**
   * Returns the model that an engine loads for a declaration.
   *
   * @param model the declared model
   * @return the model to load
   */
  public static LoadedModel of(final ModelDeclaration model) {
    return new LoadedModel(model.name(), model.version(), model.adapters());
  }
}
