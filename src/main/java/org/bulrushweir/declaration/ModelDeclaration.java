package org.bulrushweir.declaration;

import java.util.List;
import org.bulrushweir.api.ModelName;

/**
 * Describes a model that a service offers.
 *
 * @param name the name of the model
 * @param version the version that engines are to load
 * @param adapters the names of the adapters that are loaded with the model
 * @param minimumReplicas the minimum number of engines that are to have the model loaded
 * @param maximumReplicas the maximum number of engines that are to have the model loaded
 */
public record ModelDeclaration(
    ModelName name,
    String version,
    List<String> adapters,
    int minimumReplicas,
    int maximumReplicas) {}
