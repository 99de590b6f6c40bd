package org.bulrushweir.declaration;

import java.util.List;
import java.util.Optional;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ModelName;
import org.bulrushweir.api.ServiceName;

/**
 * Describes a service.
 *
 * @param name the service's name
 * @param kind the kind of its endpoints
 * @param loadMultiple how many times the mean load an endpoint may carry
 * @param slots how many requests an endpoint runs at once
 * @param reservedSlots how many of the slots only short work may take
 * @param fencing who checks fencing numbers of orders
 * @param dependsOn the services that this one needs
 * @param drained the endpoints that shall take no new work
 * @param models the models that it offers
 * @param operations the operations whose properties are declared
 * @param maximumBodyBytes the greatest allowed request body
 */
public record ServiceDeclaration(
    ServiceName name,
    EndpointKind kind,
    double loadMultiple,
    int slots,
    int reservedSlots,
    FencingPolicy fencing,
    List<ServiceName> dependsOn,
    List<EndpointId> drained,
    List<ModelDeclaration> models,
    List<OperationDeclaration> operations,
    int maximumBodyBytes) {

  /**
   * Finds a model.
   *
   * @param model the model's name
   * @return the model, if the service offers it
   */
  public Optional<ModelDeclaration> model(final ModelName model) {
    return models.stream().filter(it -> it.name().equals(model)).findFirst();
  }

  /**
   * Tells whether a call may be repeated. Calls of undeclared operations may be repeated if their
   * method is safe or idempotent by the HTTP standard.
   *
   * @param method the HTTP method
   * @param path the HTTP path
   * @return true if running the call twice does no harm
   */
  public boolean isIdempotent(final String method, final String path) {
    return operations.stream()
        .filter(operation -> operation.matches(method, path))
        .findFirst()
        .map(OperationDeclaration::idempotent)
        .orElseGet(() -> !"POST".equalsIgnoreCase(method) && !"PATCH".equalsIgnoreCase(method));
  }
}
