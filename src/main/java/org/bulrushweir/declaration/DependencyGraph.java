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

/** Checks that services depend on declared services only and not on themselves. */
final class DependencyGraph {

  private final Map<ServiceName, ServiceDeclaration> services;
  private final Map<ServiceName, TomlReader> readers;
  private final Set<ServiceName> finished = new HashSet<>();
  private final Deque<ServiceName> open = new ArrayDeque<>();

  private DependencyGraph(
      final Map<ServiceName, ServiceDeclaration> services,
      final Map<ServiceName, TomlReader> readers) {
    this.services = services;
    this.readers = readers;
  }

  /**
   * Reports unknown names and cycles.
   *
   * @param services the services
   * @param readers where to report, by service
   */
  static void check(
      final Map<ServiceName, ServiceDeclaration> services,
      final Map<ServiceName, TomlReader> readers) {
    final DependencyGraph graph = new DependencyGraph(services, readers);
    services.keySet().forEach(graph::visit);
  }

  private void visit(final ServiceName service) {
    if (finished.contains(service)) {
      return;
    }
    open.addLast(service);
    for (final ServiceName dependency : services.get(service).dependsOn()) {
      follow(service, dependency);
    }
    open.removeLast();
    finished.add(service);
  }

  private void follow(final ServiceName service, final ServiceName dependency) {
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
    if (open.contains(dependency)) {
      readers.get(service).reportAt("depends_on", "a cycle of dependencies: " + cycle(dependency));
      return;
    }
    visit(dependency);
  }

  private String cycle(final ServiceName start) {
    final String path =
        open.stream()
            .dropWhile(name -> !name.equals(start))
            .map(ServiceName::value)
            .collect(Collectors.joining(" -> "));
    return path + " -> " + start;
  }
}
