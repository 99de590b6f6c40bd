package org.bulrushweir.declaration;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.toml.NearestName;
import org.bulrushweir.toml.TomlReader;

/** Checks that the dependencies of services are declared and have no cycles. */
final class DependencyGraph {

  private final Map<ServiceName, ServiceDeclaration> services;
  private final Map<ServiceName, TomlReader> readers;
  private final Set<ServiceName> visited = new HashSet<>();
  private final Deque<ServiceName> openPath = new ArrayDeque<>();

  private DependencyGraph(
      final Map<ServiceName, ServiceDeclaration> services,
      final Map<ServiceName, TomlReader> readers) {
    this.services = services;
    this.readers = readers;
  }

  /**
   * Reports undeclared dependencies and cycles of dependencies.
   *
   * @param services the services by name
   * @param readers the reader of each service's table, which collects the findings
   */
  static void check(
      final Map<ServiceName, ServiceDeclaration> services,
      final Map<ServiceName, TomlReader> readers) {
    final DependencyGraph graph = new DependencyGraph(services, readers);
    services.keySet().forEach(graph::visit);
  }

  private void visit(final ServiceName service) {
    if (visited.contains(service)) {
      return;
    }
    openPath.addLast(service);
    for (final ServiceName dependency : services.get(service).dependsOn()) {
      visitDependency(service, dependency);
    }
    openPath.removeLast();
    visited.add(service);
  }

  private void visitDependency(final ServiceName service, final ServiceName dependency) {
    if (!services.containsKey(dependency)) {
      final Set<String> names =
          services.keySet().stream().map(ServiceName::value).collect(Collectors.toSet());
      readers
          .get(service)
          .reportAt(
              "depends_on",
              "service \""
                  + dependency
                  + "\" is not declared; "
                  + NearestName.suggestion(dependency.value(), names));
      return;
    }
    if (openPath.contains(dependency)) {
      readers.get(service).reportAt("depends_on", "dependency cycle: " + cycle(dependency));
      return;
    }
    visit(dependency);
  }

  private String cycle(final ServiceName start) {
    final String path =
        openPath.stream()
            .dropWhile(name -> !name.equals(start))
            .map(ServiceName::value)
            .collect(Collectors.joining(" -> "));
    return path + " -> " + start;
  }
}
