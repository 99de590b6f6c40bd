package org.bulrushweir.placement;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ModelName;
import org.bulrushweir.declaration.ModelDeclaration;
import org.bulrushweir.declaration.ServiceDeclaration;

/**
 * Assigns models to engines by rendezvous hashing: every process computes the same assignment
 * without a leader, and only the models of an engine that joins or leaves are reassigned.
 */
public final class ModelPlacement {

  private ModelPlacement() {}

  /**
   * Returns the models that are assigned to an engine.
   *
   * @param endpoint the engine
   * @param endpoints all engines of the service that accept work
   * @param service the service
   * @return the models that the engine is to have loaded, in the order of their declaration
   */
  public static List<ModelDeclaration> modelsOf(
      final EndpointId endpoint,
      final Collection<EndpointId> endpoints,
      final ServiceDeclaration service) {
    final List<ModelDeclaration> models = new ArrayList<>();
    for (final ModelDeclaration model : service.models()) {
      if (replicas(model, endpoints).contains(endpoint)) {
        models.add(model);
      }
    }
    return models;
  }

  /**
   * Returns the engines that a model is assigned to.
   *
   * @param model the model
   * @param endpoints all engines of the service that accept work
   * @return the engines, at most {@link ModelDeclaration#maximumReplicas}, the most preferred first
   */
  public static List<EndpointId> replicas(
      final ModelDeclaration model, final Collection<EndpointId> endpoints) {
    return endpoints.stream()
        .sorted(
            Comparator.comparingLong((EndpointId id) -> score(model.name(), id))
                .thenComparing(Comparator.naturalOrder()))
        .limit(model.maximumReplicas())
        .toList();
  }

  private static long score(final ModelName model, final EndpointId endpoint) {
    return Hashing.sipHash24()
        .hashString(model.value() + '\n' + endpoint.value(), StandardCharsets.UTF_8)
        .asLong();
  }
}
