package org.bulrushweir.declaration;

import java.util.List;
import java.util.Optional;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.ModelName;
import org.bulrushweir.api.ServiceName;

/**
 * Describes a service.
 *
 * @param name the name of the service
 * @param kind the kind of its endpoints
 * @param loadMultiple the maximum load of an endpoint, as a multiple of the mean load of the
 *     service's endpoints
 * @param slots the number of requests that an endpoint runs concurrently
 * @param reservedSlots the number of those slots that only short work may use
 * @param fencing which process rejects orders with a stale fencing token
 * @param dependsOn the services on which this service depends
 * @param drained the endpoints that get no new work
 * @param models the models that the service offers; empty for plain services
 * @param operations the operations whose idempotence is declared
 * @param maximumBodyBytes the maximum size of a request body, in bytes
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
   * Finds a model of this service.
   *
   * @param model the name of the model
   * @return the model; empty if the service doesn't offer it
   */
  public Optional<ModelDeclaration> model(final ModelName model) {
    return models.stream().filter(it -> it.name().equals(model)).findFirst();
  }

  /**
   * Returns whether a call is idempotent, so that it may be retried. Calls of undeclared operations
   * are if their method is safe or idempotent by the HTTP standard.
   *
   * @param method the HTTP method
   * @param path the HTTP path, without its query
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
