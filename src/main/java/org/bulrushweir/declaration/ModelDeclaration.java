package org.bulrushweir.declaration;

import java.util.List;
import org.bulrushweir.api.ModelName;

/**
 * Describes a model that a service offers.
 *
 * @param name the model's name
 * @param version the version that engines shall have loaded
 * @param adapters the adapters that are loaded with it
 * @param minimumReplicas the least number of engines that shall have it loaded
 * @param maximumReplicas the greatest number of engines that shall have it loaded
 */
public record ModelDeclaration(
    ModelName name,
    String version,
    List<String> adapters,
    int minimumReplicas,
    int maximumReplicas) {}
