package org.saffronshore.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.saffronshore.compatibility.MessageBodies.jsonObject;
import static org.saffronshore.compatibility.MessageBodies.resource;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.saffronshore.cli.Main;
import picocli.CommandLine;

/**
 * Tests the commands, options and exit statuses of the program, and the deploy file by which the
 * platform builds and runs it.
 */
class ProgramTest {
  private static final int OK = 0;
  private static final int USAGE_ERROR = 2;
  private static final int CANNOT_SERVE = 69;
  private static final int INVALID_SETTINGS = 78;

  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();

  private CommandLine program() {
    return new CommandLine(new Main())
        .setColorScheme(CommandLine.Help.defaultColorScheme(CommandLine.Help.Ansi.OFF))
        .setOut(new PrintWriter(out, true))
        .setErr(new PrintWriter(err, true));
  }

  private int run(String... arguments) {
    return program().execute(arguments);
  }

  @Test
  void programAndCommandsHaveFixedNames() {
    assertEquals("saffronshore", program().getCommandName());
    assertEquals(Set.of("controller", "train-cds"), program().getSubcommands().keySet());
  }

  @ParameterizedTest
  @CsvSource({"--help, usage.txt", "-h, usage.txt"})
  void helpOptionPrintsUsage(String option, String usage) {
    assertEquals(OK, run(option));
    assertEquals(resource(usage), out.toString());
  }

  @ParameterizedTest
  @ValueSource(strings = {"--help", "-h"})
  void controllerHelpOptionPrintsUsage(String option) {
    assertEquals(OK, run("controller", option));
    assertEquals(resource("usage-controller.txt"), out.toString());
  }

  /** The version is unknown here because the classes were not loaded from the packaged jar. */
  @ParameterizedTest
  @ValueSource(strings = {"--version", "-V"})
  void versionOptionPrintsVersion(String option) {
    assertEquals(OK, run(option));
    assertEquals(OK, run("controller", option));
    assertEquals("saffronshore (not packaged)\n".repeat(2), out.toString());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "controller | Missing required option: '--config=FILE'",
        "controller --config | Missing required parameter for option '--config' (FILE)",
        "controller --config=x --fast | Unknown option: '--fast'",
        "worker | Unmatched argument at index 0: 'worker'"
      })
  void invalidArgumentsAreUsageError(String arguments, String problem) {
    assertEquals(USAGE_ERROR, run(arguments.split(" ")));
    assertEquals(problem, err.toString().lines().findFirst().orElse(""));
  }

  @Test
  void missingCommandIsUsageError() {
    assertEquals(USAGE_ERROR, run());
  }

  // Exit statuses of a controller

  @Test
  void controllerWithoutSettingsFileExitsWithInvalidSettings(@TempDir Path directory) {
    assertEquals(
        INVALID_SETTINGS, run("controller", "--config", directory.resolve("none.json").toString()));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "{", "{}", "[]"})
  void controllerWithInvalidSettingsExitsWithInvalidSettings(
      String settings, @TempDir Path directory) throws IOException {
    assertEquals(
        INVALID_SETTINGS, run("controller", "--config", writeSettings(directory, settings)));
  }

  @Test
  void controllerThatCannotBindExitsWithCannotServe(@TempDir Path directory) throws IOException {
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      ObjectNode settings = jsonObject(resource("settings.json"));
      settings.put("serve_on", "127.0.0.1:" + taken.getLocalPort());
      settings.put("peer_bind", "127.0.0.1:" + taken.getLocalPort());
      assertEquals(
          CANNOT_SERVE,
          run("controller", "--config", writeSettings(directory, settings.toString())));
    }
  }

  private static String writeSettings(Path directory, String settings) throws IOException {
    return Files.writeString(directory.resolve("settings.json"), settings).toString();
  }

  // The deploy file

  @Test
  void deployFileHasExactLinesForPlatform() throws IOException {
    List<String> lines = Files.readAllLines(Path.of("deploy/service.toml"));
    assertEquals(
        List.of(
            "build = \"mvn -q -DskipTests package\"",
            "run = \"java -XX:SharedArchiveFile=target/saffronshore.jsa -XX:+UseSerialGC"
                + " -XX:TieredStopAtLevel=1 -XX:ReservedCodeCacheSize=24m -XX:-UsePerfData"
                + " -Xss512k -Xms48m -Xmx96m -XX:MaxDirectMemorySize=24m"
                + " -jar target/saffronshore.jar controller --config\"",
            "production = \"e22313b9585f055aab803c869a22e2f6a3c18e33\""),
        lines);
  }

  /** The files and arguments that the deploy file runs are those that the build produces. */
  @Test
  void buildProducesWhatDeployFileRuns() throws IOException {
    String build = Files.readString(Path.of("pom.xml"));
    for (String text :
        List.of(
            "<finalName>saffronshore</finalName>",
            "<mainClass>org.saffronshore.cli.Main</mainClass>",
            "<arg value=\"-XX:ArchiveClassesAtExit=target/saffronshore.jsa\"/>",
            "<arg value=\"train-cds\"/>")) {
      assertTrue(build.contains(text), text);
    }
  }
}
