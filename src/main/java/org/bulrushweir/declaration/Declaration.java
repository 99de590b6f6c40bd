package org.bulrushweir.declaration;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.bulrushweir.api.ModelName;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.api.ServiceName;

/**
 * Holds all that operators have declared.
 *
 * @param baseNumber the number of the configuration that the text was edited from, if it says so
 * @param classes the classes of work by name, in the order of the text
 * @param organisations the organisations by id
 * @param services the services by name, in the order of the text
 * @param weightStore how fast the weight store may be read, empty if it is not limited
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
   * @param model the model
   * @return the service, if there is one
   */
  public Optional<ServiceDeclaration> serviceOf(final ModelName model) {
    return services.values().stream().filter(it -> it.model(model).isPresent()).findFirst();
  }

  /**
   * Returns the class of work of requests that name none: the first declared one.
   *
   * @return the class
   */
  public WorkClass defaultClass() {
    return classes.values().iterator().next();
  }
}
