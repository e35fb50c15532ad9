package org.saffronshore;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.library.Architectures;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The dependencies allowed between packages, as described in docs/architecture.md. */
@AnalyzeClasses(packages = "org.saffronshore", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
  private static final Path SOURCES = Path.of("src/main/java/org/saffronshore");

  /**
   * Protocol names that could be mistaken for names of this project. Only the package wire may
   * contain them.
   */
  private static final Pattern PROTOCOL_NAME =
      Pattern.compile(
          "\"(Baton|Shift|Tick|Dispatcher|Cadres?|Rigs?|Depots?|Loaner|RecallS|Legs?|Lap|Hire)\"");

  @ArchTest
  static final ArchRule PACKAGES_HAVE_NO_CYCLES =
      slices().matching("org.saffronshore.(*)..").should().beFreeOfCycles();

  @ArchTest
  static final ArchRule PACKAGES_DEPEND_ONLY_ON_LOWER_LAYERS =
      Architectures.layeredArchitecture()
          .consideringOnlyDependenciesInLayers()
          .withOptionalLayers(true)
          .layer("program")
          .definedBy("org.saffronshore.cli..")
          .layer("controller")
          .definedBy("org.saffronshore.control..")
          .layer("parts of a controller")
          .definedBy(
              "org.saffronshore.api..",
              "org.saffronshore.failover..",
              "org.saffronshore.autoscaling..")
          .layer("services")
          .definedBy(
              "org.saffronshore.peer..",
              "org.saffronshore.cluster..",
              "org.saffronshore.leadership..",
              "org.saffronshore.cloud..",
              "org.saffronshore.admin..")
          .layer("decisions")
          .definedBy("org.saffronshore.scheduling..", "org.saffronshore.fleet..")
          .layer("state service")
          .definedBy("org.saffronshore.state..")
          .layer("base")
          .definedBy(
              "org.saffronshore.http..", "org.saffronshore.config..", "org.saffronshore.wire..")
          .whereLayer("program")
          .mayNotBeAccessedByAnyLayer()
          .whereLayer("controller")
          .mayOnlyBeAccessedByLayers("program")
          .whereLayer("parts of a controller")
          .mayOnlyBeAccessedByLayers("controller")
          .whereLayer("services")
          .mayOnlyBeAccessedByLayers("controller", "parts of a controller")
          .whereLayer("decisions")
          .mayOnlyBeAccessedByLayers("controller", "parts of a controller", "services")
          .whereLayer("state service")
          .mayOnlyBeAccessedByLayers("controller", "parts of a controller", "services");

  @ArchTest
  static final ArchRule NETTY_IS_USED_FOR_HTTP_ONLY =
      noClasses()
          .that()
          .resideOutsideOfPackages("org.saffronshore.http..", "org.saffronshore.cli..")
          // The controller passes its event loop group to its two servers.
          .and()
          .doNotHaveFullyQualifiedName("org.saffronshore.control.Controller")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("io.netty..");

  @ArchTest
  static final ArchRule ARGUMENTS_ARE_PARSED_BY_THE_PROGRAM_ONLY =
      noClasses()
          .that()
          .resideOutsideOfPackage("org.saffronshore.cli..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("picocli..");

  @ArchTest
  static final ArchRule JSON_TREES_ARE_USED_AT_THE_BOUNDARIES_ONLY =
      noClasses()
          .that()
          .resideInAnyPackage(
              "org.saffronshore.control..",
              "org.saffronshore.api..",
              "org.saffronshore.autoscaling..",
              "org.saffronshore.cloud..",
              "org.saffronshore.cluster..",
              "org.saffronshore.leadership..",
              "org.saffronshore.scheduling..",
              "org.saffronshore.fleet..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("com.fasterxml.jackson..");

  @Test
  void protocolNamesAreUsedInWireOnly() throws IOException {
    try (Stream<Path> files = Files.walk(SOURCES)) {
      List<Path> found =
          files
              .filter(file -> file.toString().endsWith(".java"))
              .filter(file -> !file.startsWith(SOURCES.resolve("wire")))
              .filter(ArchitectureTest::containsProtocolName)
              .toList();
      assertThat(found).isEmpty();
    }
  }

  private static boolean containsProtocolName(Path file) {
    try {
      return PROTOCOL_NAME.matcher(Files.readString(file)).find();
    } catch (IOException e) {
      throw new AssertionError(file + " cannot be read", e);
    }
  }
}
