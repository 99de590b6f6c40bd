package org.bulrushweir.declaration;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.bulrushweir.api.ModelName;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.api.ServiceName;

/**
 * Holds the content of a configuration: what operators declare about organisations, services and
 * work classes.
 *
 * @param baseNumber the number of the configuration that the text was derived from; empty if the
 *     text doesn't state it
 * @param classes the work classes by name, in the order of the text; never empty
 * @param organisations the organisations by id; never empty
 * @param services the services by name, in the order of the text
 * @param weightStore the rate limit of reads from the weight store; empty if there is none
 */
public record Declaration(
    OptionalLong baseNumber,
    Map<String, WorkClass> classes,
    Map<OrganisationId, OrganisationDeclaration> organisations,
    Map<ServiceName, ServiceDeclaration> services,
    Optional<WeightStoreDeclaration> weightStore) {

  /**
   * Finds the service that offers a model.
   *
   * @param model the name of the model
   * @return the service; empty if no service offers the model
   */
  public Optional<ServiceDeclaration> serviceOf(final ModelName model) {
    return services.values().stream().filter(it -> it.model(model).isPresent()).findFirst();
  }

  /**
   * Returns the work class of requests that name none, which is the first declared one.
   *
   * @return the work class
   */
  public WorkClass defaultClass() {
    return classes.values().iterator().next();
  }
}
