package org.bulrushweir.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Holds decisions free of I/O, and the other rules between packages. */
class PackageRulesTest {

  private static final String[] DECISIONS = {
    "org.bulrushweir.admission..",
    "org.bulrushweir.affinity..",
    "org.bulrushweir.configuration..",
    "org.bulrushweir.delivery..",
    "org.bulrushweir.membership..",
    "org.bulrushweir.placement..",
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
