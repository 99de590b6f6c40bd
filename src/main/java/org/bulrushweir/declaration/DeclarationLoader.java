package org.bulrushweir.declaration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.bulrushweir.api.EndpointId;
import org.bulrushweir.api.FindingCollector;
import org.bulrushweir.api.Identifiers;
import org.bulrushweir.api.InvalidInputException;
import org.bulrushweir.api.ModelName;
import org.bulrushweir.api.OrganisationId;
import org.bulrushweir.api.ServiceName;
import org.bulrushweir.toml.TomlReader;

/** Parses and validates the text of a configuration. */
public final class DeclarationLoader {

  private static final double DEFAULT_LOAD_MULTIPLE = 1.25;
  private static final double MAXIMUM_LOAD_MULTIPLE = 10;
  private static final int DEFAULT_SLOTS = 8;
  private static final int MAXIMUM_SLOTS = 4_096;
  private static final int DEFAULT_BODY_BYTES = 1_048_576;
  private static final int MAXIMUM_BODY_BYTES = 67_108_864;
  private static final int MAXIMUM_PRIORITY = 100;
  private static final int MAXIMUM_REPLICAS = 100_000;
  private static final double MAXIMUM_WEIGHT = 1_000;
  private static final long MAXIMUM_DEADLINE_MS = 3_600_000;
  private static final int DEFAULT_OUTPUT_TOKENS = 200;
  private static final int MAXIMUM_OUTPUT_TOKENS = 1_000_000;
  private static final double MAXIMUM_PERMITS = 100_000;
  private static final String KEY_DIGEST_PATTERN = "[0-9a-f]{64}";

  private DeclarationLoader() {}

  /**
   * Parses and validates the text of a configuration.
   *
   * @param source the name of the input, used in findings
   * @param text the TOML text
   * @return the declaration, with an empty base if the text has none
   * @throws InvalidInputException with all findings, if there are any
   */
  public static Declaration load(final String source, final String text) {
    final FindingCollector findings = new FindingCollector();
    final TomlReader root = TomlReader.parse(source, text, findings);
    findings.throwIfAny();
    final OptionalLong base =
        root.has("base")
            ? OptionalLong.of(root.integer("base", 0, 0, Long.MAX_VALUE))
            : OptionalLong.empty();
    final Map<String, WorkClass> classes = classes(root);
    final Map<OrganisationId, OrganisationDeclaration> organisations = organisations(root);
    final Map<ServiceName, ServiceDeclaration> services = services(root);
    final Optional<WeightStoreDeclaration> weightStore = weightStore(root);
    if (classes.isEmpty()) {
      root.report("no work class is declared; add a table such as [classes.quick]");
    }
    if (organisations.isEmpty()) {
      root.report("no organisation is declared; add a table such as [organisations.example]");
    }
    root.reportUnknownKeys();
    findings.throwIfAny();
    return new Declaration(base, classes, organisations, services, weightStore);
  }

  private static Optional<WeightStoreDeclaration> weightStore(final TomlReader root) {
    if (!root.has("weight_store")) {
      return Optional.empty();
    }
    final TomlReader reader = root.table("weight_store");
    return Optional.of(
        new WeightStoreDeclaration(
            reader.number("permits_per_minute", 1, 1 / MAXIMUM_PERMITS, MAXIMUM_PERMITS),
            reader.number("burst", 1, 1, MAXIMUM_PERMITS)));
  }

  private static Map<String, WorkClass> classes(final TomlReader root) {
    final Map<String, WorkClass> classes = new LinkedHashMap<>();
    root.tables("classes")
        .forEach(
            (name, reader) -> {
              if (validName(reader, "class", name)) {
                classes.put(name, workClass(name, reader));
              }
            });
    return classes;
  }

  private static WorkClass workClass(final String name, final TomlReader reader) {
    final long deadlineMs = reader.integer("deadline_ms", 60_000, 1, MAXIMUM_DEADLINE_MS);
    final long firstTokenMs = reader.integer("first_token_ms", 1_500, 1, MAXIMUM_DEADLINE_MS);
    if (firstTokenMs > deadlineMs) {
      reader.reportAt("first_token_ms", "the first token is due after the deadline");
    }
    return new WorkClass(
        name,
        (int) reader.integer("priority", 0, 0, MAXIMUM_PRIORITY),
        deadlineMs,
        firstTokenMs,
        (int)
            reader.integer(
                "expected_output_tokens", DEFAULT_OUTPUT_TOKENS, 1, MAXIMUM_OUTPUT_TOKENS),
        reader.flag("short", false));
  }

  private static Map<OrganisationId, OrganisationDeclaration> organisations(final TomlReader root) {
    final Map<OrganisationId, OrganisationDeclaration> organisations = new LinkedHashMap<>();
    root.tables("organisations")
        .forEach(
            (name, reader) -> {
              if (validName(reader, "organisation", name)) {
                final OrganisationId id = new OrganisationId(name);
                organisations.put(id, organisation(id, reader));
              }
            });
    return organisations;
  }

  private static OrganisationDeclaration organisation(
      final OrganisationId id, final TomlReader reader) {
    final List<String> digests = reader.texts("key_sha256");
    for (final String digest : digests) {
      if (!digest.matches(KEY_DIGEST_PATTERN)) {
        reader.reportAt("key_sha256", "a key digest must have 64 lower-case hexadecimal digits");
      }
    }
    return new OrganisationDeclaration(
        id,
        reader.number("weight", 1, 1 / MAXIMUM_WEIGHT, MAXIMUM_WEIGHT),
        reader.number("maximum_share", 1, 1 / MAXIMUM_WEIGHT, 1),
        digests);
  }

  private static Map<ServiceName, ServiceDeclaration> services(final TomlReader root) {
    final Map<ServiceName, TomlReader> readers = new LinkedHashMap<>();
    root.tables("services")
        .forEach(
            (name, reader) -> {
              if (validName(reader, "service", name)) {
                readers.put(new ServiceName(name), reader);
              }
            });
    final Map<ServiceName, ServiceDeclaration> services = new LinkedHashMap<>();
    readers.forEach((name, reader) -> services.put(name, service(name, reader)));
    DependencyGraph.check(services, readers);
    checkModelsAreUnique(services, readers);
    return services;
  }

  private static ServiceDeclaration service(final ServiceName name, final TomlReader reader) {
    final EndpointKind kind = reader.enumValue("kind", EndpointKind.class, null);
    final int slots = (int) reader.integer("slots", DEFAULT_SLOTS, 1, MAXIMUM_SLOTS);
    final List<ModelDeclaration> models = models(reader);
    if (kind != null && kind.supportsChat() && models.isEmpty()) {
      reader.report("service \"" + name + "\" answers chats but declares no model");
    }
    if (kind == EndpointKind.SERVICE && !models.isEmpty()) {
      reader.reportAt(
          "models", "service \"" + name + "\" is of kind \"service\", which has no models");
    }
    return new ServiceDeclaration(
        name,
        kind,
        reader.number("load_multiple", DEFAULT_LOAD_MULTIPLE, 1, MAXIMUM_LOAD_MULTIPLE),
        slots,
        (int) reader.integer("reserved_slots", slots / 4, 0, slots - 1),
        reader.enumValue("fencing", FencingPolicy.class, FencingPolicy.CHECKED),
        dependencies(reader),
        drained(reader),
        models,
        operations(reader),
        (int) reader.integer("maximum_body_bytes", DEFAULT_BODY_BYTES, 1, MAXIMUM_BODY_BYTES));
  }

  private static List<ServiceName> dependencies(final TomlReader reader) {
    final List<ServiceName> names = new ArrayList<>();
    for (final String text : reader.texts("depends_on")) {
      if (Identifiers.isValid(text)) {
        names.add(new ServiceName(text));
      } else {
        reader.reportAt("depends_on", "\"" + text + "\" is not a valid service name");
      }
    }
    return names;
  }

  private static List<EndpointId> drained(final TomlReader reader) {
    final List<EndpointId> endpoints = new ArrayList<>();
    for (final String text : reader.texts("drained")) {
      if (Identifiers.isValid(text)) {
        endpoints.add(new EndpointId(text));
      } else {
        reader.reportAt("drained", "\"" + text + "\" is not a valid endpoint name");
      }
    }
    return endpoints;
  }

  private static List<ModelDeclaration> models(final TomlReader service) {
    final List<ModelDeclaration> models = new ArrayList<>();
    service
        .tables("models")
        .forEach(
            (name, reader) -> {
              if (validName(reader, "model", name)) {
                models.add(model(new ModelName(name), reader));
              }
            });
    return models;
  }

  private static ModelDeclaration model(final ModelName name, final TomlReader reader) {
    final int minimum = (int) reader.integer("minimum_replicas", 1, 0, MAXIMUM_REPLICAS);
    final int maximum =
        (int) reader.integer("maximum_replicas", MAXIMUM_REPLICAS, 1, MAXIMUM_REPLICAS);
    if (minimum > maximum) {
      reader.reportAt(
          "minimum_replicas",
          "the minimum number of replicas, " + minimum + ", exceeds the maximum, " + maximum);
    }
    return new ModelDeclaration(
        name, reader.text("version", "1"), reader.texts("adapters"), minimum, maximum);
  }

  private static List<OperationDeclaration> operations(final TomlReader service) {
    final List<OperationDeclaration> operations = new ArrayList<>();
    service
        .tables("operations")
        .forEach(
            (name, reader) -> {
              final String path = reader.text("path");
              if (!path.isEmpty() && !path.startsWith("/")) {
                reader.reportAt("path", "a path must start with \"/\"");
              }
              operations.add(
                  new OperationDeclaration(
                      name, reader.text("method"), path, reader.flag("repeatable", false)));
            });
    return operations;
  }

  private static void checkModelsAreUnique(
      final Map<ServiceName, ServiceDeclaration> services,
      final Map<ServiceName, TomlReader> readers) {
    final Map<ModelName, ServiceName> owners = new LinkedHashMap<>();
    for (final ServiceDeclaration service : services.values()) {
      for (final ModelDeclaration model : service.models()) {
        final ServiceName other = owners.putIfAbsent(model.name(), service.name());
        if (other != null) {
          readers
              .get(service.name())
              .reportAt("models", "model \"" + model.name() + "\" is offered by " + other + " too");
        }
      }
    }
  }

  private static boolean validName(final TomlReader reader, final String kind, final String name) {
    if (Identifiers.isValid(name)) {
      return true;
    }
    reader.report("\"" + name + "\" is not a valid " + kind + " name");
    return false;
  }
}
