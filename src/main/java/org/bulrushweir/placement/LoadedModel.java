package org.bulrushweir.placement;

import java.util.List;
import org.bulrushweir.api.ModelName;
import org.bulrushweir.declaration.ModelDeclaration;

/**
 * Names what an engine has loaded, or shall load.
 *
 * @param name the model
 * @param version its version
 * @param adapters its adapters
 */
public record LoadedModel(ModelName name, String version, List<String> adapters) {

  /**
   * Names what a declaration asks for.
   *
   * @param model the declared model
   * @return what an engine shall load for it
   */
  public static LoadedModel of(final ModelDeclaration model) {
    return new LoadedModel(model.name(), model.version(), model.adapters());
  }
}
