package org.bulrushweir.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Holds decisions free of I/O, and the other rules between packages. */
class PackageRulesTest {

  private static final String[] DECISIONS = {
    "org.bulrushweir.admission..",
    "org.bulrushweir.affinity..",
    "org.bulrushweir.balancing..",
    "org.bulrushweir.catalog..",
    "org.bulrushweir.coldstart..",
    "org.bulrushweir.configuration..",
    "org.bulrushweir.delivery..",
    "org.bulrushweir.dispatch..",
    "org.bulrushweir.membership..",
    "org.bulrushweir.placement..",
    "org.bulrushweir.quarantine..",
    "org.bulrushweir.relay..",
    "org.bulrushweir.routing..",
    "org.bulrushweir.runonce..",
  };

  private final JavaClasses project =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("org.bulrushweir");

  @Test
  void decisionsDoNoInputOrOutput() {
    noClasses()
        .that()
        .resideInAnyPackage(DECISIONS)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "io.netty..",
            "io.javalin..",
            "okhttp3..",
            "java.net..",
            "java.nio.file..",
            "org.bulrushweir.platform..",
            "org.bulrushweir.wire..",
            "org.bulrushweir.node..",
            "org.bulrushweir.engine..",
            "org.bulrushweir.gateway..",
            "org.bulrushweir.store..",
            "org.bulrushweir.router..",
            "org.bulrushweir.sidecar..")
        .check(project);
  }

  @Test
  void decisionsDoNotReadTheTimeOrStartThreads() {
    noClasses()
        .that()
        .resideInAnyPackage(DECISIONS)
        .should()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .dependOnClassesThat()
        .resideInAnyPackage("java.util.concurrent..")
        .check(project);
  }

  /** The names of headers and calls on the users' platform stand in its adapter only. */
  @Test
  void nothingOutsideTheAdapterKnowsThePlatformsWords() throws IOException {
    final Path main = Path.of("src/main/java/org/bulrushweir");
    final Pattern words =
        Pattern.compile(
            "(?i)\"(x-(request-id|deadline-ms|prompt-prefix|response-seal|tenant|expect-instance"
                + "|not-executed|request-priority|server-load|instance-id|hold|pin-ms|kv-backup)"
                + "|kv-(fetch|from|events|list|move)|/?rows-(tx|get|feed|parts)|/?blob-.*)");
    final List<String> found = new ArrayList<>();
    try (Stream<Path> files = Files.walk(main)) {
      for (final Path file : files.filter(it -> it.toString().endsWith(".java")).toList()) {
        if (!file.startsWith(main.resolve("platform")) && words.matcher(read(file)).find()) {
          found.add(file.toString());
        }
      }
    }
    assertEquals(List.of(), found);
  }

  private static String read(final Path file) throws IOException {
    return Files.readString(file);
  }

  @Test
  void apiNeedsNothingElse() {
    classes()
        .that()
        .resideInAPackage("org.bulrushweir.api..")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage("org.bulrushweir.api..", "java..")
        .check(project);
  }

  @Test
  void fleetProcessesDoNotNeedStandIns() {
    noClasses()
        .that()
        .resideOutsideOfPackages(
            "org.bulrushweir.standin..", "org.bulrushweir.command..", "org.bulrushweir.demo..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("org.bulrushweir.standin..")
        .check(project);
  }

  @Test
  void noProcessStartsAnother() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .belongToAnyOf(Process.class, ProcessBuilder.class)
        .check(project);
  }
}
